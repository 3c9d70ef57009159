package org.marjoramgw.standin.engine;

import java.util.List;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;

/**
 * Settings of an engine stand-in.
 *
 * @param httpAddress address to bind
 * @param controlAddress address of the control endpoint, which stays up during a crash
 * @param models models that are loaded at the start; if empty, any model is served
 * @param seed seed of the output lengths; must be the same for all engines of a
 * deployment
 * @param baseGapMicros gap between tokens of an idle engine, in microseconds
 * @param perSequenceMicros increase of the gap for each running request, in microseconds
 * @param prefillTokenMicros prefill time of one prompt token, in microseconds
 * @param maxBatchCount maximum number of requests that run concurrently
 * @param medianTokens median of the output lengths, in tokens
 * @param sigmaPercent standard deviation of the logarithm of the output lengths, in
 * hundredths
 * @param maxTokens maximum output length, in tokens
 * @param cacheBlockCount capacity of the prefix cache, in blocks
 * @param reportLagMillis lag of the load report, in milliseconds
 * @param checksFencing whether an order with an old fencing number is refused
 * @param executionCount maximum number of recorded executions; the oldest are evicted
 * @author The marjoramgw authors
 */
public record EngineSettings(HostPort httpAddress, HostPort controlAddress, List<String> models, long seed,
		long baseGapMicros, long perSequenceMicros, long prefillTokenMicros, int maxBatchCount, long medianTokens,
		long sigmaPercent, int maxTokens, int cacheBlockCount, long reportLagMillis, boolean checksFencing,
		int executionCount) {

	private static final long MAX_MICROS = 10_000_000;

	private static final long MAX_COUNT = 1_000_000;

	private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

	/**
	 * Reads the settings.
	 * @param table table that holds them
	 * @return the settings
	 */
	public static EngineSettings read(TomlTable table) {
		return new EngineSettings(table.address("http_address", ANY_PORT), table.address("control_address", ANY_PORT),
				table.texts("models"), table.number("seed", 1, Long.MIN_VALUE, Long.MAX_VALUE),
				table.number("base_gap_us", 8_000, 1, MAX_MICROS), table.number("per_sequence_us", 800, 0, MAX_MICROS),
				table.number("prefill_token_us", 100, 0, MAX_MICROS),
				(int) table.number("max_batch_count", 16, 1, MAX_COUNT),
				table.number("median_tokens", 100, 1, MAX_COUNT), table.number("sigma_percent", 70, 0, 1_000),
				(int) table.number("max_tokens", 2_000, 1, MAX_COUNT),
				(int) table.number("cache_block_count", 2_000, 0, MAX_COUNT),
				table.number("report_lag_ms", 500, 0, 3_600_000), table.flag("checks_fencing", true),
				(int) table.number("execution_count", 20_000, 1, MAX_COUNT));
	}

}
