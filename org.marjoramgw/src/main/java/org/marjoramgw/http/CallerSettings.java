package org.marjoramgw.http;

import org.marjoramgw.program.DescriptorLimit;
import org.marjoramgw.settings.TomlTable;

/**
 * Limits on the callers of an HTTP server.
 *
 * @param maxHeadBytes maximum size of a request head, in bytes
 * @param headTimeoutMillis timeout from the first byte of a request head to its end, in
 * milliseconds
 * @param idleTimeoutMillis time after which a connection without a request is closed, in
 * milliseconds
 * @param bodyTimeoutMillis timeout of a request body, in milliseconds
 * @param maxConnections maximum number of connections
 * @param memoryPercent share of the heap that is held for callers, in percent
 * @author The marjoramgw authors
 */
public record CallerSettings(int maxHeadBytes, long headTimeoutMillis, long idleTimeoutMillis, long bodyTimeoutMillis,
		int maxConnections, int memoryPercent) {

	private static final int MIN_HEAD_BYTES = 1_024;

	private static final int MAX_HEAD_BYTES = 1_048_576;

	private static final int DEFAULT_HEAD_BYTES = 16_384;

	private static final long DEFAULT_HEAD_MILLIS = 3_000;

	/**
	 * Longer than most clients keep a connection without a request, so that they close it
	 * first: a request that is sent while the server closes gets no answer.
	 */
	private static final long DEFAULT_IDLE_MILLIS = 75_000;

	private static final long DEFAULT_BODY_MILLIS = 30_000;

	private static final long MAX_MILLIS = 600_000;

	private static final int DEFAULT_CONNECTIONS = 8_192;

	private static final int MAX_CONNECTIONS = 1_000_000;

	/**
	 * The rest of the heap is for the process itself and for what requests run through.
	 */
	private static final int DEFAULT_MEMORY_PERCENT = 35;

	private static final int MAX_MEMORY_PERCENT = 80;

	private static final long STALL_MILLIS = 300_000;

	private static final int PERCENT = 100;

	/**
	 * Reads the limits.
	 * @param table table that holds them
	 * @return the limits
	 */
	public static CallerSettings read(TomlTable table) {
		return new CallerSettings(
				(int) table.number("caller_head_bytes", DEFAULT_HEAD_BYTES, MIN_HEAD_BYTES, MAX_HEAD_BYTES),
				table.number("caller_head_timeout_ms", DEFAULT_HEAD_MILLIS, 1, MAX_MILLIS),
				table.number("caller_idle_timeout_ms", DEFAULT_IDLE_MILLIS, 1, MAX_MILLIS),
				table.number("caller_body_timeout_ms", DEFAULT_BODY_MILLIS, 1, MAX_MILLIS),
				(int) table.number("caller_connection_count", DEFAULT_CONNECTIONS, 1, MAX_CONNECTIONS),
				(int) table.number("caller_memory_percent", DEFAULT_MEMORY_PERCENT, 1, MAX_MEMORY_PERCENT));
	}

	/**
	 * Returns the limits that apply without settings.
	 * @return the defaults
	 */
	public static CallerSettings defaults() {
		return new CallerSettings(DEFAULT_HEAD_BYTES, DEFAULT_HEAD_MILLIS, DEFAULT_IDLE_MILLIS, DEFAULT_BODY_MILLIS,
				DEFAULT_CONNECTIONS, DEFAULT_MEMORY_PERCENT);
	}

	/**
	 * Returns the limit on connections, of which half of the descriptors of the process
	 * allow: the other half is for its files and for the connections that it opens.
	 * @return maximum number of connections
	 */
	public int connectionLimit() {
		int descriptors = DescriptorLimit.read().orElse(Integer.MAX_VALUE);
		return Math.max(1, Math.min(this.maxConnections, descriptors / 2));
	}

	/**
	 * Returns the time without any byte sent or received after which a connection with a
	 * request is closed. Long enough for a request that waits for its deadline.
	 * @return the time, in milliseconds
	 */
	public long stallTimeoutMillis() {
		return STALL_MILLIS;
	}

	/**
	 * Creates the memory budget for callers.
	 * @return a budget of the configured share of the heap
	 */
	public MemoryBudget newBudget() {
		return new MemoryBudget(Runtime.getRuntime().maxMemory() / PERCENT * this.memoryPercent, System::nanoTime);
	}

}
