package org.marjoramgw.standin.plainservice;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;

/**
 * Settings of a plain service stand-in.
 *
 * @param httpAddress address to listen to
 * @param delayMillis time that a call takes, in milliseconds
 * @param executionCount bound of the executions that are recorded; the oldest go first
 * @author The marjoramgw authors
 */
public record PlainSettings(HostPort httpAddress, long delayMillis, long executionCount) {

	/**
	 * Reads the settings.
	 * @param table table that holds them
	 * @return the settings
	 */
	public static PlainSettings read(TomlTable table) {
		return new PlainSettings(table.address("http_address", new HostPort("127.0.0.1", 0)),
				table.number("delay_ms", 5, 0, 3_600_000), table.number("execution_count", 20_000, 1, 1_000_000));
	}

}
