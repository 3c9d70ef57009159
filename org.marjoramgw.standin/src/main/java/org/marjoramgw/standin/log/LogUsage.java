package org.marjoramgw.standin.log;

import java.util.Map;

/**
 * Use that was made of a log stand-in.
 *
 * @param appendCounts appends that took effect, by stream
 * @param readCount reads of all streams that were answered
 * @author The marjoramgw authors
 */
public record LogUsage(Map<String, Long> appendCounts, long readCount) {

	/**
	 * Returns the appends to all streams.
	 * @return the number of appends that took effect
	 */
	public long appendCount() {
		return this.appendCounts.values().stream().mapToLong(Long::longValue).sum();
	}

}
