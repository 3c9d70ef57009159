package org.marjoramgw.policy.share;

/**
 * Sum whose older parts fade exponentially.
 *
 * @author The marjoramgw authors
 */
final class DecayingSum {

	private final double timeConstantMillis;

	private double value;

	private long atMillis;

	DecayingSum(long timeConstantMillis, long nowMillis) {
		this.timeConstantMillis = timeConstantMillis;
		this.atMillis = nowMillis;
	}

	void add(double amount, long nowMillis) {
		this.value = valueAt(nowMillis) + amount;
		this.atMillis = Math.max(this.atMillis, nowMillis);
	}

	void capAt(double bound, long nowMillis) {
		this.value = Math.min(valueAt(nowMillis), bound);
		this.atMillis = Math.max(this.atMillis, nowMillis);
	}

	double valueAt(long nowMillis) {
		long elapsedMillis = Math.max(nowMillis - this.atMillis, 0);
		return this.value * Math.exp(-elapsedMillis / this.timeConstantMillis);
	}

}
