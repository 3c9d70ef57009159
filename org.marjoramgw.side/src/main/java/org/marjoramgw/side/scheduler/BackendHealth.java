package org.marjoramgw.side.scheduler;

/**
 * Reachability of the backend server, with exponential backoff after failed connection
 * attempts.
 * <p>
 * A server that refuses connections fails each call at once and frees its slot, so that
 * all queued requests would be sent to it and fail. After each failure to connect the
 * server gets no requests for a time that doubles up to a limit.
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
