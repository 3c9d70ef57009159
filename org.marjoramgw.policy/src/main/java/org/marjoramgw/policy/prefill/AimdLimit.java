package org.marjoramgw.policy.prefill;

/**
 * Limit of the prompts in prefill at one server for one kind of request, adapted by
 * additive increase and multiplicative decrease.
 * <p>
 * It rises while first tokens arrive in time and falls when they are late, so that many
 * senders share a server without coordination.
 *
 * @author The marjoramgw authors
 */
final class AimdLimit {

	private static final double INITIAL = 2;

	private static final double MIN = 1;

	private static final double MAX = 64;

	/** Factor by which a late first token lowers the limit. */
	private static final double DECREASE_FACTOR = 0.7;

	private double limit = INITIAL;

	private long lastDecreaseMillis = Long.MIN_VALUE / 2;

	/**
	 * Returns whether one more prompt may be sent.
	 * @param inFlightCount prompts sent to the server whose first token is outstanding
	 * @return whether it may
	 */
	boolean hasRoom(int inFlightCount) {
		return inFlightCount < Math.floor(this.limit);
	}

	/**
	 * Adapts the limit to the time that a first token took.
	 * @param waitMillis time from the send to the first token or, without one, to the end
	 * of the request, in milliseconds
	 * @param maxMillis time that it may take, in milliseconds
	 * @param nowMillis current time of a monotonic clock, in milliseconds
	 */
	void onFirstToken(long waitMillis, long maxMillis, long nowMillis) {
		if (waitMillis <= maxMillis) {
			this.limit = Math.min(MAX, this.limit + 1 / this.limit);
			return;
		}
		// A prompt sent before the last decrease doesn't reflect it and must not lower
		// the limit again.
		if (nowMillis - waitMillis >= this.lastDecreaseMillis) {
			this.limit = Math.max(MIN, this.limit * DECREASE_FACTOR);
			this.lastDecreaseMillis = nowMillis;
		}
	}

}
