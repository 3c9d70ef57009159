package org.marjoramgw.ctl.internal;

import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;

/**
 * Settings of the operators' commands; each is an empty text if absent.
 *
 * @param logUrl URL of the log service
 * @param vmListUrl URL of the VM list
 * @param operatorToken operators' token of the deployment
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

	static final ClientSettings NONE = new ClientSettings("", "", "", System.getProperty("user.name"));

	/**
	 * Reads the settings.
	 * @param table root table
	 * @return the checked settings
	 * @throws InvalidTomlException if there are mistakes
	 */
	public static ClientSettings read(TomlTable table) throws InvalidTomlException {
		ClientSettings settings = new ClientSettings(table.text(LOG_URL, NONE.logUrl()),
				table.text(VM_LIST_URL, NONE.vmListUrl()), table.text(OPERATOR_TOKEN, NONE.operatorToken()),
				table.text(OPERATOR, NONE.operator()));
		table.throwIfInvalid();
		return settings;
	}

}
