package org.marjoramgw.direct.forward;

import org.marjoramgw.policy.limiter.StartLimiter;
import org.marjoramgw.time.Timers;

/**
 * Lets a request begin when its turn has come; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class GatedStart {

	/**
	 * Longest time for which a request counts as starting, in milliseconds: a server that
	 * does not answer must not keep the others from starting.
	 */
	private static final long MAX_STARTING_MILLIS = 100;

	private final StartLimiter gate;

	private final Timers timers;

	private final Runnable onFinished;

	private StartLimiter.Permit place;

	private boolean finished;

	/**
	 * Creates a start.
	 * @param gate order in which requests start
	 * @param timers timers
	 * @param onOver called when the request has started or ended, more than once perhaps
	 */
	GatedStart(StartLimiter gate, Timers timers, Runnable onOver) {
		this.gate = gate;
		this.timers = timers;
		this.onFinished = onOver;
	}

	/**
	 * Begins the request now or later, unless it ends before.
	 * @param priority its rank, 0 is the most urgent
	 * @param begin begins it
	 */
	void run(int priority, Runnable begin) {
		if (isFinished()) {
			return;
		}
		StartLimiter.Permit entered = this.gate.acquire(priority, () -> beginIfUnfinished(begin));
		synchronized (this) {
			this.place = entered;
			if (this.finished) {
				entered.release();
			}
		}
	}

	/**
	 * Notes that the request has started or ended.
	 */
	void finish() {
		synchronized (this) {
			this.finished = true;
			if (this.place != null) {
				this.place.release();
			}
		}
		this.onFinished.run();
	}

	private void beginIfUnfinished(Runnable begin) {
		if (isFinished()) {
			return;
		}
		this.timers.schedule(MAX_STARTING_MILLIS, this::finish);
		begin.run();
	}

	private synchronized boolean isFinished() {
		return this.finished;
	}

}
