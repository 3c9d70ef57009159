package org.marjoramgw.policy.share;

/**
 * Sum whose older parts decay exponentially.
 *
 * @author The marjoramgw authors
 */
public final class DecayingSum {

	private final double timeConstantMillis;

	private double value;

	private long updatedMillis;

	/**
	 * Creates a sum of 0.
	 * @param timeConstantMillis time in which a part decays to 1/e, in milliseconds
	 * @param nowMillis current time of a monotonic clock, in milliseconds
	 */
	public DecayingSum(long timeConstantMillis, long nowMillis) {
		this.timeConstantMillis = timeConstantMillis;
		this.updatedMillis = nowMillis;
	}

	/**
	 * Copies the sum.
	 * @return a sum with the same value that changes independently
	 */
	public DecayingSum copy() {
		DecayingSum copy = new DecayingSum((long) this.timeConstantMillis, this.updatedMillis);
		copy.value = this.value;
		return copy;
	}

	/**
	 * Adds to the sum.
	 * @param amount amount to add
	 * @param nowMillis current time, in milliseconds
	 */
	public void add(double amount, long nowMillis) {
		this.value = valueAt(nowMillis) + amount;
		this.updatedMillis = Math.max(this.updatedMillis, nowMillis);
	}

	void capAt(double bound, long nowMillis) {
		this.value = Math.min(valueAt(nowMillis), bound);
		this.updatedMillis = Math.max(this.updatedMillis, nowMillis);
	}

	/**
	 * Returns the sum.
	 * @param nowMillis time, in milliseconds
	 * @return the sum of the decayed parts
	 */
	public double valueAt(long nowMillis) {
		long elapsedMillis = Math.max(nowMillis - this.updatedMillis, 0);
		return this.value * Math.exp(-elapsedMillis / this.timeConstantMillis);
	}

}
