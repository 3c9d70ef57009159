package org.marjoramgw.direct.forward;

import org.marjoramgw.MillisClock;

/**
 * Bound of log lines in each second; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class LineRate {

	private static final long SECOND_MILLIS = 1_000;

	private final MillisClock clock;

	private final int maxPerSecond;

	private long second;

	private int taken;

	LineRate(MillisClock clock, int maxPerSecond) {
		this.clock = clock;
		this.maxPerSecond = maxPerSecond;
	}

	synchronized boolean tryTake() {
		long now = this.clock.nowMillis() / SECOND_MILLIS;
		if (now != this.second) {
			this.second = now;
			this.taken = 0;
		}
		this.taken++;
		return this.taken <= this.maxPerSecond;
	}

}
