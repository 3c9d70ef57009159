package org.marjoramgw.side.scheduler;

/**
 * Meter of the mean gap between the tokens of one stream.
 *
 * @author The marjoramgw authors
 */
final class TokenGapMeter {

	private long firstMillis;

	private long lastMillis;

	private int gapCount;

	private boolean started;

	/**
	 * Starts afresh before the first token, so that prefill is no gap.
	 * @param nowMillis the present time, in milliseconds
	 */
	void restart(long nowMillis) {
		this.started = false;
		this.gapCount = 0;
		this.firstMillis = nowMillis;
	}

	/**
	 * Notes tokens.
	 * @param tokens how many came together
	 * @param nowMillis the present time, in milliseconds
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
	 * @return milliseconds, or a negative number if no gap was measured
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
