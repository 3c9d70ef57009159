package org.marjoramgw.time;

import org.marjoramgw.MillisClock;

/**
 * Clock for ages that must not be underestimated.
 * <p>
 * The monotonic clock stands still while a VM is suspended, and the time of day may be
 * changed. An age is the larger of what the two clocks say.
 *
 * @author The marjoramgw authors
 */
public final class AgeClock {

	private final MillisClock monotonic;

	private final MillisClock wallClock;

	/**
	 * Creates a clock.
	 * @param steady monotonic clock
	 * @param timeOfDay clock that follows the time of day, also through sleep
	 */
	public AgeClock(MillisClock steady, MillisClock timeOfDay) {
		this.monotonic = steady;
		this.wallClock = timeOfDay;
	}

	/**
	 * Reads both clocks.
	 * @return the present moment
	 */
	public ClockReading now() {
		return new ClockReading(this.monotonic.nowMillis(), this.wallClock.nowMillis());
	}

	/**
	 * Returns the age of a moment.
	 * @param moment an earlier moment
	 * @return its age in milliseconds, never too small
	 */
	public long ageMillis(ClockReading moment) {
		ClockReading now = now();
		long steadyAge = now.monotonicMillis() - moment.monotonicMillis();
		long dayAge = now.wallClockMillis() - moment.wallClockMillis();
		return Math.max(steadyAge, dayAge);
	}

	/**
	 * Returns by how much the time of day ran ahead of the monotonic clock since a
	 * moment.
	 * @param moment an earlier moment
	 * @return the difference in milliseconds, negative if it fell behind
	 */
	public long driftMillis(ClockReading moment) {
		ClockReading now = now();
		return (now.wallClockMillis() - moment.wallClockMillis()) - (now.monotonicMillis() - moment.monotonicMillis());
	}

}
