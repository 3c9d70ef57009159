package org.marjoramgw.policy.share;

/**
 * Sum whose older parts decay exponentially.
 *
 * @author The marjoramgw authors
 */
final class DecayingSum {

	private final double timeConstantMillis;

	private double value;

	private long updatedMillis;

	DecayingSum(long timeConstantMillis, long nowMillis) {
		this.timeConstantMillis = timeConstantMillis;
		this.updatedMillis = nowMillis;
	}

	void add(double amount, long nowMillis) {
		this.value = valueAt(nowMillis) + amount;
		this.updatedMillis = Math.max(this.updatedMillis, nowMillis);
	}

	void capAt(double bound, long nowMillis) {
		this.value = Math.min(valueAt(nowMillis), bound);
		this.updatedMillis = Math.max(this.updatedMillis, nowMillis);
	}

	double valueAt(long nowMillis) {
		long elapsedMillis = Math.max(nowMillis - this.updatedMillis, 0);
		return this.value * Math.exp(-elapsedMillis / this.timeConstantMillis);
	}

}
