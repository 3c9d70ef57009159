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
	 * Raises the limit because a first token arrived in time.
	 */
	void onTimely() {
		this.limit = Math.min(MAX, this.limit + 1 / this.limit);
	}

	/**
	 * Lowers the limit because a first token was late. A prompt that was sent before the
	 * last decrease doesn't reflect it and doesn't lower the limit again.
	 * @param sentMillis when the prompt was sent by a monotonic clock, in milliseconds
	 * @param nowMillis present time by the same clock, in milliseconds
	 */
	void onLate(long sentMillis, long nowMillis) {
		if (sentMillis >= this.lastDecreaseMillis) {
			this.limit = Math.max(MIN, this.limit * DECREASE_FACTOR);
			this.lastDecreaseMillis = nowMillis;
		}
	}

}
