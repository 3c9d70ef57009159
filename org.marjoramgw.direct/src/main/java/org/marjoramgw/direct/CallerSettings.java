package org.marjoramgw.direct;

import org.marjoramgw.settings.TomlTable;

/**
 * Bounds of what a process holds for its callers. By default they are derived from the
 * heap and the descriptors of the process.
 *
 * @param memoryBytes memory for all callers, in bytes, or 0 to derive it
 * @param maxConnections connections above which idle ones are closed, or 0 to derive it
 * @author The marjoramgw authors
 */
public record CallerSettings(long memoryBytes, int maxConnections) {

	private static final long MAX_MEMORY_BYTES = 1L << 40;

	private static final int MAX_CONNECTIONS = 1_000_000;

	static CallerSettings of(TomlTable root) {
		return new CallerSettings((long) root.clampedDecimal("caller_memory_bytes", 0, 0, MAX_MEMORY_BYTES),
				(int) root.clampedDecimal("caller_connection_count", 0, 0, MAX_CONNECTIONS));
	}

}
