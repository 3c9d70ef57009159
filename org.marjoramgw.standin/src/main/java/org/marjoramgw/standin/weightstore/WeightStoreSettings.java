package org.marjoramgw.standin.weightstore;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;

/**
 * Settings of a weight store stand-in.
 *
 * @param httpAddress address to bind
 * @param loadMillis duration of a load when no other load runs, in milliseconds
 * @param loadsPerMinute rate limit of loads, per minute
 * @param burstCount burst size of the rate limit, in loads
 * @author The marjoramgw authors
 */
public record WeightStoreSettings(HostPort httpAddress, long loadMillis, long loadsPerMinute, long burstCount) {

	/**
	 * Reads the settings.
	 * @param table table that holds them
	 * @return the settings
	 */
	public static WeightStoreSettings read(TomlTable table) {
		return new WeightStoreSettings(table.address("http_address", new HostPort("127.0.0.1", 0)),
				table.number("load_ms", 200, 0, 3_600_000), table.number("loads_per_minute_count", 60, 1, 1_000_000),
				table.number("burst_count", 4, 1, 1_000));
	}

}
