package org.marjoramgw.standin.log;

import java.util.Map;

/**
 * Usage counters of a log stand-in.
 *
 * @param appendCounts number of appends that took effect, by stream
 * @param readCount number of reads of all streams that were served
 * @author The marjoramgw authors
 */
public record LogUsage(Map<String, Long> appendCounts, long readCount) {

	/**
	 * Returns the number of appends to all streams.
	 * @return the number of appends that took effect
	 */
	public long appendCount() {
		return this.appendCounts.values().stream().mapToLong(Long::longValue).sum();
	}

}
