package org.marjoramgw.direct.forward;

import org.marjoramgw.policy.limiter.StartLimiter;
import org.marjoramgw.time.Timers;

/**
 * Start of one request under a {@link StartLimiter}; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class LimitedStart {

	/**
	 * Time after which a request no longer counts as starting, in milliseconds, so that
	 * an unresponsive server doesn't block other requests from starting.
	 */
	private static final long MAX_STARTING_MILLIS = 100;

	private final StartLimiter limiter;

	private final Timers timers;

	private final Runnable onFinished;

	private StartLimiter.Permit permit;

	private boolean finished;

	/**
	 * Creates a start.
	 * @param limiter limits concurrently starting requests
	 * @param timers timers
	 * @param onFinished called when the request has started or ended; may be called more
	 * than once
	 */
	LimitedStart(StartLimiter limiter, Timers timers, Runnable onFinished) {
		this.limiter = limiter;
		this.timers = timers;
		this.onFinished = onFinished;
	}

	/**
	 * Begins the request as soon as the limiter grants a permit, unless it is finished
	 * before.
	 * @param priority rank of the request; 0 is the most urgent
	 * @param begin begins the request
	 */
	void run(int priority, Runnable begin) {
		if (isFinished()) {
			return;
		}
		StartLimiter.Permit acquired = this.limiter.acquire(priority, () -> beginIfUnfinished(begin));
		synchronized (this) {
			this.permit = acquired;
			if (this.finished) {
				acquired.release();
			}
		}
	}

	/**
	 * Marks the request as started or ended and releases its permit.
	 */
	void finish() {
		synchronized (this) {
			this.finished = true;
			if (this.permit != null) {
				this.permit.release();
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
