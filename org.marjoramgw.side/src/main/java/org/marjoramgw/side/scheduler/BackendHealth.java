package org.marjoramgw.side.scheduler;

/**
 * Judgement of whether the backend server can be reached.
 * <p>
 * A server that refuses connections ends its calls at once and would draw every waiting
 * request. After each failure to connect it gets no work for a time that doubles up to a
 * bound.
 *
 * @author The marjoramgw authors
 */
final class BackendHealth {

	private static final long INITIAL_BACKOFF_MILLIS = 200;

	private static final long MAX_BACKOFF_MILLIS = 3_200;

	private long backoffMillis;

	private long backoffUntilMillis;

	void onReachable() {
		this.backoffMillis = 0;
		this.backoffUntilMillis = 0;
	}

	void onUnreachable(long nowMillis) {
		if (isBackingOff(nowMillis)) {
			return;
		}
		this.backoffMillis = (this.backoffMillis == 0) ? INITIAL_BACKOFF_MILLIS
				: Math.min(this.backoffMillis * 2, MAX_BACKOFF_MILLIS);
		this.backoffUntilMillis = nowMillis + this.backoffMillis;
	}

	boolean isBackingOff(long nowMillis) {
		return nowMillis < this.backoffUntilMillis;
	}

	long remainingBackoffMillis(long nowMillis) {
		return Math.max(this.backoffUntilMillis - nowMillis, 0);
	}

}
