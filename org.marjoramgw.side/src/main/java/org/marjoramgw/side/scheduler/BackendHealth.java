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

	private static final long FIRST_PAUSE_MILLIS = 200;

	private static final long MAX_PAUSE_MILLIS = 3_200;

	private long pauseMillis;

	private long suspectUntilMillis;

	void reached() {
		this.pauseMillis = 0;
		this.suspectUntilMillis = 0;
	}

	void unreachable(long nowMillis) {
		if (isSuspect(nowMillis)) {
			return;
		}
		this.pauseMillis = (this.pauseMillis == 0) ? FIRST_PAUSE_MILLIS
				: Math.min(this.pauseMillis * 2, MAX_PAUSE_MILLIS);
		this.suspectUntilMillis = nowMillis + this.pauseMillis;
	}

	boolean isSuspect(long nowMillis) {
		return nowMillis < this.suspectUntilMillis;
	}

	long leftMillis(long nowMillis) {
		return Math.max(this.suspectUntilMillis - nowMillis, 0);
	}

}
