package org.marjoramgw.policy.usage;

import org.marjoramgw.MillisClock;

/**
 * Clock of the true time: that of the wall clock, carried by a steady clock across jumps
 * of the wall clock; thread-safe. May go back by a small step.
 * <p>
 * A wall clock that is set wrong is usually set right again soon, so a jump backward is
 * accepted only once it has lasted. A jump forward is also what a VM shows that was
 * suspended, since its steady clock stood still; it is accepted soon, and undone at once
 * when the wall clock goes back by the same.
 *
 * @author The marjoramgw authors
 */
public final class TrueClock {

	/** Difference of the clocks that is followed at once. */
	private static final long MAX_SLEW_MILLIS = 300;

	/** Time after which a jump backward is accepted. */
	private static final long ACCEPT_BACKWARD_MILLIS = 60_000;

	/** Time after which a jump forward is accepted. */
	private static final long ACCEPT_FORWARD_MILLIS = 1_000;

	private final MillisClock steadyClock;

	private final MillisClock wallClock;

	private long offsetMillis;

	private boolean jumped;

	private long jumpMillis;

	private long jumpedAtMillis;

	/** Last jump forward that was accepted, 0 if it was undone. */
	private long forwardMillis;

	/**
	 * Creates a clock.
	 * @param steadyClock steady clock
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
		if (Math.abs(deviation) <= MAX_SLEW_MILLIS) {
			accept(deviation);
		}
		else if (isUndone(deviation) || hasLasted(deviation, steadyMillis)) {
			this.forwardMillis = Math.max(0, deviation);
			accept(deviation);
		}
		return steadyMillis + this.offsetMillis;
	}

	private void accept(long deviation) {
		this.offsetMillis += deviation;
		this.jumped = false;
	}

	private boolean isUndone(long deviation) {
		return this.forwardMillis > 0 && Math.abs(deviation + this.forwardMillis) <= MAX_SLEW_MILLIS;
	}

	private boolean hasLasted(long deviation, long steadyMillis) {
		if (!this.jumped || Math.abs(deviation - this.jumpMillis) > MAX_SLEW_MILLIS) {
			this.jumped = true;
			this.jumpMillis = deviation;
			this.jumpedAtMillis = steadyMillis;
		}
		long acceptMillis = (deviation > 0) ? ACCEPT_FORWARD_MILLIS : ACCEPT_BACKWARD_MILLIS;
		return steadyMillis - this.jumpedAtMillis >= acceptMillis;
	}

}
