package org.marjoramgw.ctl.internal;

import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;

/**
 * Settings of the operators' commands. A setting that is absent is an empty text, except
 * for the operator, which defaults to the name of the user.
 *
 * @param logUrl URL of the log service
 * @param vmListUrl URL of the VM list
 * @param operatorToken token of the operators' endpoints of the deployment
 * @param operator name of the operator
 * @author The marjoramgw authors
 */
public record ClientSettings(String logUrl, String vmListUrl, String operatorToken, String operator) {

	/** Key of the log service's URL. */
	public static final String LOG_URL = "log_url";

	/** Key of the VM list's URL. */
	public static final String VM_LIST_URL = "vm_list_url";

	/** Key of the operators' token. */
	public static final String OPERATOR_TOKEN = "operator_token";

	/** Key of the operator's name. */
	public static final String OPERATOR = "operator";

	static final ClientSettings DEFAULTS = new ClientSettings("", "", "", System.getProperty("user.name"));

	/**
	 * Reads the settings from a TOML table.
	 * @param table root table
	 * @return the validated settings
	 * @throws InvalidTomlException if a setting is invalid
	 */
	public static ClientSettings read(TomlTable table) throws InvalidTomlException {
		ClientSettings settings = new ClientSettings(table.text(LOG_URL, DEFAULTS.logUrl()),
				table.text(VM_LIST_URL, DEFAULTS.vmListUrl()), table.text(OPERATOR_TOKEN, DEFAULTS.operatorToken()),
				table.text(OPERATOR, DEFAULTS.operator()));
		table.throwIfInvalid();
		return settings;
	}

}
