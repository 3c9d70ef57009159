package org.marjoramgw.policy.slot;

/**
 * Mean gap between tokens at one engine in the last period with measurements.
 *
 * @author The marjoramgw authors
 */
final class RecentTokenGap {

	/** Age from which a gap no longer describes the speed of the engine. */
	private static final long VALID_MILLIS = 5_000;

	private double sumMillis;

	private int count;

	private double meanMillis;

	private long measuredMillis = Long.MIN_VALUE / 2;

	void observe(double gapMillis) {
		this.sumMillis += gapMillis;
		this.count++;
	}

	void endPeriod(long nowMillis) {
		if (this.count > 0) {
			this.meanMillis = this.sumMillis / this.count;
			this.measuredMillis = nowMillis;
		}
		this.sumMillis = 0;
		this.count = 0;
	}

	/**
	 * Returns whether the engine is too slow for a target.
	 * @param targetMillis target for the gap, in milliseconds, 0 for none
	 * @param nowMillis current time, in milliseconds
	 * @return whether a recent gap exceeds the target
	 */
	boolean exceeds(long targetMillis, long nowMillis) {
		boolean valid = nowMillis - this.measuredMillis < VALID_MILLIS;
		return valid && targetMillis > 0 && this.meanMillis > targetMillis;
	}

}
