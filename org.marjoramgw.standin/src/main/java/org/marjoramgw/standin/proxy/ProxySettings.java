package org.marjoramgw.standin.proxy;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;

/**
 * Settings of a fault-injecting proxy.
 *
 * @param httpAddress address to bind for the control API
 * @author The marjoramgw authors
 */
public record ProxySettings(HostPort httpAddress) {

	/**
	 * Reads the settings.
	 * @param table table that holds them
	 * @return the settings
	 */
	public static ProxySettings read(TomlTable table) {
		return new ProxySettings(table.address("http_address", new HostPort("127.0.0.1", 0)));
	}

}
