package org.marjoramgw.time;

import org.marjoramgw.MillisClock;

/**
 * Measures the scheduling lag of this process as the delay of a periodic timer;
 * thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class LagMeter {

	private static final long INTERVAL_MILLIS = 100;

	private final MillisClock clock;

	private final Timers timers;

	private long dueMillis;

	private long lastLagMillis;

	/**
	 * Creates a meter.
	 * @param clock monotonic clock
	 * @param timers timers whose tasks queue behind other work of the process
	 */
	public LagMeter(MillisClock clock, Timers timers) {
		this.clock = clock;
		this.timers = timers;
		this.dueMillis = clock.nowMillis() + INTERVAL_MILLIS;
	}

	/**
	 * Starts measuring.
	 */
	public void start() {
		synchronized (this) {
			this.dueMillis = this.clock.nowMillis() + INTERVAL_MILLIS;
		}
		this.timers.schedule(INTERVAL_MILLIS, this::measure);
	}

	/**
	 * Returns how long work that arrives now is expected to wait before it is processed.
	 * @return the lag in milliseconds, not negative
	 */
	public synchronized long lagMillis() {
		return Math.max(this.lastLagMillis, overdueMillis());
	}

	private void measure() {
		synchronized (this) {
			this.lastLagMillis = overdueMillis();
		}
		start();
	}

	private long overdueMillis() {
		return Math.max(0, this.clock.nowMillis() - this.dueMillis);
	}

}
