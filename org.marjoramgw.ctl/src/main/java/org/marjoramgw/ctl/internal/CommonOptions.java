package org.marjoramgw.ctl.internal;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;

/**
 * Options that are common to all subcommands. They override the settings file.
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
	 * Tells whether results are printed as JSON.
	 * @return whether JSON was requested
	 */
	public boolean json() {
		return this.json;
	}

	/**
	 * Reads the settings file, if one is given, and applies the options over it.
	 * @return the settings
	 * @throws InvalidTomlException if the settings file is invalid
	 */
	public ClientSettings settings() throws InvalidTomlException {
		ClientSettings fileSettings = (this.config != null) ? ClientSettings.read(TomlTable.ofFile(this.config))
				: ClientSettings.DEFAULTS;
		return new ClientSettings(optionOrSetting(this.logUrl, fileSettings.logUrl()),
				optionOrSetting(this.vmListUrl, fileSettings.vmListUrl()),
				optionOrSetting(this.operatorToken, fileSettings.operatorToken()),
				optionOrSetting(this.operator, fileSettings.operator()));
	}

	/**
	 * Returns a setting that the command requires.
	 * @param value value of the setting, empty if absent
	 * @param key key of the setting in the settings file
	 * @return the value
	 * @throws ParameterException if the value is empty
	 */
	public static String requireSetting(String value, String key) {
		if (value.isEmpty()) {
			throw new ParameterException(Messages.missingSetting(key));
		}
		return value;
	}

	private static String optionOrSetting(String option, String setting) {
		return (option != null) ? option : setting;
	}

}
