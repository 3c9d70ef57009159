package org.marjoramgw.direct.follow;

import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.ClockReading;

/**
 * Grace period after an outage of the store, in which live servers register again. Not
 * thread-safe.
 *
 * @author The marjoramgw authors
 */
final class OutageGrace {

	/**
	 * Length of the period, in milliseconds: two seconds, less the time that a request
	 * needs to reach a server that has left.
	 */
	private static final long GRACE_MILLIS = 1_900;

	private final AgeClock clock;

	private boolean reachable = true;

	/** When the first successful read after an outage was sent. */
	private ClockReading reachableAgainSince;

	/**
	 * Creates a period that has not begun.
	 * @param clock clock that measures ages
	 */
	OutageGrace(AgeClock clock) {
		this.clock = clock;
	}

	void onUnreachable() {
		this.reachable = false;
	}

	/**
	 * Called when the store was read.
	 * @param readAt when the read was sent
	 */
	void onReachable(ClockReading readAt) {
		if (!this.reachable) {
			this.reachableAgainSince = readAt;
		}
		this.reachable = true;
	}

	/**
	 * Tells whether no server is waited for.
	 * @return whether the period is over, or there was no outage
	 */
	boolean isOver() {
		return this.reachable
				&& (this.reachableAgainSince == null || this.clock.ageMillis(this.reachableAgainSince) > GRACE_MILLIS);
	}

}
