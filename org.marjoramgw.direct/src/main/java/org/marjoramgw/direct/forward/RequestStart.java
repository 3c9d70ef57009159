package org.marjoramgw.direct.forward;

import org.marjoramgw.policy.limiter.StartLimiter;
import org.marjoramgw.time.Timers;

/**
 * Lets a request begin when its turn has come; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class RequestStart {

	/**
	 * Longest time for which a request counts as starting, in milliseconds: a server that
	 * does not answer must not keep the others from starting.
	 */
	private static final long MAX_STARTING_MILLIS = 100;

	private final StartLimiter gate;

	private final Timers timers;

	private final Runnable onOver;

	private StartLimiter.Permit place;

	private boolean over;

	/**
	 * Creates a start.
	 * @param gate order in which requests start
	 * @param timers timers
	 * @param onOver called when the request has started or ended, more than once perhaps
	 */
	RequestStart(StartLimiter gate, Timers timers, Runnable onOver) {
		this.gate = gate;
		this.timers = timers;
		this.onOver = onOver;
	}

	/**
	 * Begins the request now or later, unless it ends before.
	 * @param priority its rank, 0 is the most urgent
	 * @param begin begins it
	 */
	void run(int priority, Runnable begin) {
		if (isOver()) {
			return;
		}
		StartLimiter.Permit entered = this.gate.acquire(priority, () -> begin(begin));
		synchronized (this) {
			this.place = entered;
			if (this.over) {
				entered.release();
			}
		}
	}

	/**
	 * Notes that the request has started or ended.
	 */
	void over() {
		synchronized (this) {
			this.over = true;
			if (this.place != null) {
				this.place.release();
			}
		}
		this.onOver.run();
	}

	private void begin(Runnable begin) {
		if (isOver()) {
			return;
		}
		this.timers.schedule(MAX_STARTING_MILLIS, this::over);
		begin.run();
	}

	private synchronized boolean isOver() {
		return this.over;
	}

}
