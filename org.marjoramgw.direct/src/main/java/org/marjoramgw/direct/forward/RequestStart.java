package org.marjoramgw.direct.forward;

import org.marjoramgw.policy.gate.StartGate;
import org.marjoramgw.time.LagMeter;
import org.marjoramgw.time.Timers;

/**
 * Lets a request begin when its turn has come; thread-safe.
 * <p>
 * A process that lags first looks at all that has arrived by now, since the end of the
 * caller's connection may be among it. Then the request passes the gate that lets a few
 * start at once.
 *
 * @author The marjoramgw authors
 */
final class RequestStart {

	/** Lag that is no mere delay of a timer, in milliseconds. */
	private static final long NOTICEABLE_LAG_MILLIS = 120;

	/**
	 * Lag above which a caller is better served elsewhere, in milliseconds: its request
	 * has waited as long before it was read, and its leaving would be seen as late.
	 */
	private static final long MAX_LAG_MILLIS = 300;

	/**
	 * Longest time for which a request counts as starting, in milliseconds: a server that
	 * does not answer must not keep the others from starting.
	 */
	private static final long MAX_STARTING_MILLIS = 100;

	private final StartGate gate;

	private final LagMeter lag;

	private final Timers timers;

	private final Runnable onOver;

	private StartGate.Place place;

	private boolean over;

	/**
	 * Creates a start.
	 * @param gate order in which requests start
	 * @param lag how late this process is
	 * @param timers timers
	 * @param onOver called when the request has started or ended, more than once perhaps
	 */
	RequestStart(StartGate gate, LagMeter lag, Timers timers, Runnable onOver) {
		this.gate = gate;
		this.lag = lag;
		this.timers = timers;
		this.onOver = onOver;
	}

	/**
	 * Tells whether this process is so late that the request should go elsewhere.
	 * @return whether it is
	 */
	boolean isTooLate() {
		return this.lag.lagMillis() >= MAX_LAG_MILLIS;
	}

	/**
	 * Begins the request now or later, unless it ends before.
	 * @param priority its rank, 0 is the most urgent
	 * @param begin begins it
	 */
	void run(int priority, Runnable begin) {
		long lagMillis = this.lag.lagMillis();
		if (lagMillis < NOTICEABLE_LAG_MILLIS) {
			enter(priority, begin);
		}
		else {
			this.timers.after(Math.min(lagMillis, MAX_LAG_MILLIS), () -> enter(priority, begin));
		}
	}

	/**
	 * Notes that the request has started or ended.
	 */
	void over() {
		synchronized (this) {
			this.over = true;
			if (this.place != null) {
				this.place.leave();
			}
		}
		this.onOver.run();
	}

	private void enter(int priority, Runnable begin) {
		if (isOver()) {
			return;
		}
		StartGate.Place entered = this.gate.enter(priority, () -> begin(begin));
		synchronized (this) {
			this.place = entered;
			if (this.over) {
				entered.leave();
			}
		}
	}

	private void begin(Runnable begin) {
		if (isOver()) {
			return;
		}
		this.timers.after(MAX_STARTING_MILLIS, this::over);
		begin.run();
	}

	private synchronized boolean isOver() {
		return this.over;
	}

}
