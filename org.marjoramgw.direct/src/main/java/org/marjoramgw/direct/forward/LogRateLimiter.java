package org.marjoramgw.direct.forward;

import org.marjoramgw.MillisClock;

/**
 * Limits the number of log lines per second; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class LogRateLimiter {

	private static final long SECOND_MILLIS = 1_000;

	private final MillisClock clock;

	private final int maxPerSecond;

	private long second;

	private int acquired;

	/**
	 * Creates a limiter.
	 * @param clock clock that counts the seconds
	 * @param maxPerSecond maximum number of lines per second
	 */
	public LogRateLimiter(MillisClock clock, int maxPerSecond) {
		this.clock = clock;
		this.maxPerSecond = maxPerSecond;
	}

	/**
	 * Asks for a line.
	 * @return whether it may be logged
	 */
	public synchronized boolean tryAcquire() {
		long now = this.clock.nowMillis() / SECOND_MILLIS;
		if (now != this.second) {
			this.second = now;
			this.acquired = 0;
		}
		this.acquired++;
		return this.acquired <= this.maxPerSecond;
	}

}
