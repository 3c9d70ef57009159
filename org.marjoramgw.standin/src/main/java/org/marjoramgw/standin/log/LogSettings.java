package org.marjoramgw.standin.log;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;

/**
 * Settings of a log stand-in.
 *
 * @param httpAddress address to bind
 * @param appendsPerSecond rate limit of appends to all streams together, per second
 * @param burstCount burst size of the rate limit, in appends
 * @param retentionRecordCount number of records retained by each stream
 * @param retentionMillis retention time of a record, in milliseconds
 * @author The marjoramgw authors
 */
public record LogSettings(HostPort httpAddress, long appendsPerSecond, long burstCount, long retentionRecordCount,
		long retentionMillis) {

	private static final long MAX_COUNT = 10_000_000;

	/**
	 * Reads the settings.
	 * @param table table that holds them
	 * @return the settings
	 */
	public static LogSettings read(TomlTable table) {
		return new LogSettings(table.address("http_address", new HostPort("127.0.0.1", 0)),
				table.number("appends_per_second", 300, 1, MAX_COUNT), table.number("burst_count", 60, 1, MAX_COUNT),
				table.number("retention_record_count", 100_000, 1, MAX_COUNT),
				table.number("retention_ms", 3_600_000, 1, Long.MAX_VALUE));
	}

}
