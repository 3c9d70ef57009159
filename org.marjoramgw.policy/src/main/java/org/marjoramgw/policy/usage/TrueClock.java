package org.marjoramgw.policy.usage;

import org.marjoramgw.MillisClock;

/**
 * Clock of the true time: that of the wall clock, carried by a steady clock across jumps
 * of the wall clock; thread-safe. May go back by a small step.
 * <p>
 * A wall clock that is set wrong is usually set right again soon, so a jump against the
 * steady clock is accepted only once it has lasted.
 *
 * @author The marjoramgw authors
 */
public final class TrueClock {

	/** Difference of the clocks that is followed at once. */
	private static final long MAX_SLEW_MILLIS = 300;

	/** Time after which a jump is accepted. */
	private static final long ACCEPT_MILLIS = 60_000;

	private final MillisClock steadyClock;

	private final MillisClock wallClock;

	private long offsetMillis;

	private boolean jumped;

	private long jumpMillis;

	private long jumpedAtMillis;

	/**
	 * Creates a clock.
	 * @param steadyClock steady clock, which also advances while the VM is suspended
	 * @param wallClock clock of the time of day
	 */
	public TrueClock(MillisClock steadyClock, MillisClock wallClock) {
		this.steadyClock = steadyClock;
		this.wallClock = wallClock;
		this.offsetMillis = wallClock.nowMillis() - steadyClock.nowMillis();
	}

	/**
	 * Returns the true time.
	 * @return milliseconds since the Unix epoch
	 */
	public synchronized long nowMillis() {
		long steadyMillis = this.steadyClock.nowMillis();
		long deviation = this.wallClock.nowMillis() - steadyMillis - this.offsetMillis;
		if (Math.abs(deviation) <= MAX_SLEW_MILLIS || hasLasted(deviation, steadyMillis)) {
			this.offsetMillis += deviation;
			this.jumped = false;
		}
		return steadyMillis + this.offsetMillis;
	}

	private boolean hasLasted(long deviation, long steadyMillis) {
		if (!this.jumped || Math.abs(deviation - this.jumpMillis) > MAX_SLEW_MILLIS) {
			this.jumped = true;
			this.jumpMillis = deviation;
			this.jumpedAtMillis = steadyMillis;
		}
		return steadyMillis - this.jumpedAtMillis >= ACCEPT_MILLIS;
	}

}
