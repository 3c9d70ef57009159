package org.marjoramgw.ctl.internal;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;

/**
 * Options that every subcommand takes; they override the settings file.
 *
 * @author The marjoramgw authors
 */
public final class CommonOptions {

	@Parameter(names = "--json", description = "Print the result as JSON")
	private boolean json;

	@Parameter(names = "--config", description = "Settings file (TOML)")
	private Path config;

	@Parameter(names = "--log-url", description = "URL of the log service")
	private String logUrl;

	@Parameter(names = "--vm-list-url", description = "URL of the VM list")
	private String vmListUrl;

	@Parameter(names = "--operator-token", description = "Operators' token of the deployment")
	private String operatorToken;

	@Parameter(names = "--operator", description = "Name of the operator, kept with each published revision")
	private String operator;

	/**
	 * Tells whether JSON was asked for.
	 * @return whether to print JSON
	 */
	public boolean json() {
		return this.json;
	}

	/**
	 * Reads the settings file, if given, and lets the options override it.
	 * @return the settings
	 * @throws InvalidTomlException if the settings file has mistakes
	 */
	public ClientSettings settings() throws InvalidTomlException {
		ClientSettings file = (this.config != null) ? ClientSettings.read(TomlTable.ofFile(this.config))
				: ClientSettings.NONE;
		return new ClientSettings(first(this.logUrl, file.logUrl()), first(this.vmListUrl, file.vmListUrl()),
				first(this.operatorToken, file.operatorToken()), first(this.operator, file.operator()));
	}

	/**
	 * Insists on a setting.
	 * @param value its value, empty if absent
	 * @param key its key in the settings file
	 * @return the value
	 */
	public static String requireSetting(String value, String key) {
		if (value.isEmpty()) {
			throw new ParameterException(Messages.missingSetting(key));
		}
		return value;
	}

	private static String first(String option, String setting) {
		return (option != null) ? option : setting;
	}

}
