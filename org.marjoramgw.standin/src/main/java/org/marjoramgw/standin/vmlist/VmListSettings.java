package org.marjoramgw.standin.vmlist;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;

/**
 * Settings of a VM list stand-in.
 *
 * @param httpAddress address to bind
 * @param lagMillis delay until a change is visible to readers, in milliseconds
 * @author The marjoramgw authors
 */
public record VmListSettings(HostPort httpAddress, long lagMillis) {

	/**
	 * Reads the settings.
	 * @param table table that holds them
	 * @return the settings
	 */
	public static VmListSettings read(TomlTable table) {
		return new VmListSettings(table.address("http_address", new HostPort("127.0.0.1", 0)),
				table.number("lag_ms", 500, 0, 3_600_000));
	}

}
