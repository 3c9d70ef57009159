package org.marjoramgw.side.scheduler;

/**
 * Measures the mean gap between tokens (inter-token latency) of one stream.
 *
 * @author The marjoramgw authors
 */
final class TokenGapMeter {

	private long firstMillis;

	private long lastMillis;

	private int gapCount;

	private boolean started;

	/**
	 * Resets the measurement before the first token of an execution, so that prefill time
	 * is not counted as a gap.
	 * @param nowMillis the current time, in milliseconds
	 */
	void restart(long nowMillis) {
		this.started = false;
		this.gapCount = 0;
		this.firstMillis = nowMillis;
	}

	/**
	 * Records received tokens.
	 * @param tokens number of tokens received together
	 * @param nowMillis the current time, in milliseconds
	 */
	void recordTokens(int tokens, long nowMillis) {
		if (this.started) {
			this.gapCount += tokens;
		}
		else {
			this.started = true;
			this.firstMillis = nowMillis;
		}
		this.lastMillis = nowMillis;
	}

	/**
	 * Returns the mean gap since the last call and starts the next period.
	 * @return the mean gap in milliseconds, or a negative number if none was measured
	 */
	double takeMeanMillis() {
		if (this.gapCount == 0) {
			return -1;
		}
		double mean = (double) (this.lastMillis - this.firstMillis) / this.gapCount;
		this.firstMillis = this.lastMillis;
		this.gapCount = 0;
		return mean;
	}

}
