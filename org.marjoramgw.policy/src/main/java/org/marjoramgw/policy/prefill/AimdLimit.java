package org.marjoramgw.policy.prefill;

/**
 * Adaptive number of prompts that a server may have to read for one kind of request.
 * <p>
 * It grows while first tokens come in time and shrinks when they do not, so that many
 * senders share a server without knowing of one another.
 *
 * @author The marjoramgw authors
 */
final class AimdLimit {

	private static final double INITIAL = 2;

	private static final double MIN = 1;

	private static final double MAX = 64;

	/** What is left of the limit after a first token that came late. */
	private static final double DECREASE_FACTOR = 0.7;

	private double limit = INITIAL;

	private long lastDecreaseMillis = Long.MIN_VALUE / 2;

	/**
	 * Tells whether one more prompt may be sent.
	 * @param readingCount prompts that the server was sent and has not read
	 * @return whether it may
	 */
	boolean hasRoom(int readingCount) {
		return readingCount < Math.floor(this.limit);
	}

	/**
	 * Notes how long a first token took.
	 * @param waitMillis time since the prompt was sent, in milliseconds
	 * @param goalMillis time that it may take, in milliseconds
	 * @param nowMillis the present time of a monotonic clock
	 */
	void onFirstToken(long waitMillis, long goalMillis, long nowMillis) {
		if (waitMillis <= goalMillis) {
			this.limit = Math.min(MAX, this.limit + 1 / this.limit);
			return;
		}
		// Prompts sent before the last decrease could not know of it.
		if (nowMillis - waitMillis >= this.lastDecreaseMillis) {
			this.limit = Math.max(MIN, this.limit * DECREASE_FACTOR);
			this.lastDecreaseMillis = nowMillis;
		}
	}

}
