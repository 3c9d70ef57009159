package org.marjoramgw.standin.plainservice;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;

/**
 * Settings of a plain service stand-in.
 *
 * @param httpAddress address to bind
 * @param delayMillis processing time of a request, in milliseconds
 * @param executionCount maximum number of recorded executions; the oldest are evicted
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
