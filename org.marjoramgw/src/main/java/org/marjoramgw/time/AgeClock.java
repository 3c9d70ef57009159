package org.marjoramgw.time;

import org.marjoramgw.MillisClock;

/**
 * Measures ages that must never be underestimated.
 * <p>
 * The monotonic clock stops while a VM is suspended, and the wall clock may be set back.
 * An age is therefore the larger of the elapsed times of the two clocks.
 *
 * @author The marjoramgw authors
 */
public final class AgeClock {

	private final MillisClock monotonic;

	private final MillisClock wallClock;

	/**
	 * Creates a clock.
	 * @param monotonic monotonic clock
	 * @param wallClock clock of the time of day, which also advances while the VM is
	 * suspended
	 */
	public AgeClock(MillisClock monotonic, MillisClock wallClock) {
		this.monotonic = monotonic;
		this.wallClock = wallClock;
	}

	/**
	 * Reads both clocks.
	 * @return the current reading
	 */
	public ClockReading now() {
		return new ClockReading(this.monotonic.nowMillis(), this.wallClock.nowMillis());
	}

	/**
	 * Returns the age of a reading.
	 * @param earlier an earlier reading
	 * @return its age in milliseconds, never too small
	 */
	public long ageMillis(ClockReading earlier) {
		ClockReading now = now();
		long monotonicAge = now.monotonicMillis() - earlier.monotonicMillis();
		long wallClockAge = now.wallClockMillis() - earlier.wallClockMillis();
		return Math.max(monotonicAge, wallClockAge);
	}

	/**
	 * Returns the drift of the wall clock against the monotonic clock since a reading.
	 * @param earlier an earlier reading
	 * @return the drift in milliseconds, negative if the wall clock fell behind
	 */
	public long driftMillis(ClockReading earlier) {
		ClockReading now = now();
		return (now.wallClockMillis() - earlier.wallClockMillis())
				- (now.monotonicMillis() - earlier.monotonicMillis());
	}

}
