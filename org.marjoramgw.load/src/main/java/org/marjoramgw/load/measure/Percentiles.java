package org.marjoramgw.load.measure;

import org.HdrHistogram.AbstractHistogram;

/**
 * Percentiles of a latency distribution.
 *
 * @param count number of recorded values
 * @param p50Millis median, in milliseconds
 * @param p95Millis 95th percentile, in milliseconds
 * @param p99Millis 99th percentile, in milliseconds
 * @author The marjoramgw authors
 */
public record Percentiles(long count, long p50Millis, long p95Millis, long p99Millis) {

	private static final double P50 = 50;

	private static final double P95 = 95;

	private static final double P99 = 99;

	/**
	 * Computes the percentiles of a histogram.
	 * @param histogram histogram of values in milliseconds
	 * @return the percentiles
	 */
	public static Percentiles of(AbstractHistogram histogram) {
		return new Percentiles(histogram.getTotalCount(), histogram.getValueAtPercentile(P50),
				histogram.getValueAtPercentile(P95), histogram.getValueAtPercentile(P99));
	}

}
