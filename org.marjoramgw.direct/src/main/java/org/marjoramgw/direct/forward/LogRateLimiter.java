package org.marjoramgw.direct.forward;

import org.marjoramgw.MillisClock;

/**
 * Limits the number of log lines per second; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class LogRateLimiter {

	private static final long SECOND_MILLIS = 1_000;

	private final MillisClock clock;

	private final int maxPerSecond;

	private long second;

	private int acquired;

	LogRateLimiter(MillisClock clock, int maxPerSecond) {
		this.clock = clock;
		this.maxPerSecond = maxPerSecond;
	}

	synchronized boolean tryAcquire() {
		long now = this.clock.nowMillis() / SECOND_MILLIS;
		if (now != this.second) {
			this.second = now;
			this.acquired = 0;
		}
		this.acquired++;
		return this.acquired <= this.maxPerSecond;
	}

}
