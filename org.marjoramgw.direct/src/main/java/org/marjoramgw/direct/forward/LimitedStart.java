package org.marjoramgw.direct.forward;

import org.marjoramgw.policy.waiting.StartLimiter;
import org.marjoramgw.policy.waiting.StartTimeouts;
import org.marjoramgw.policy.waiting.Urgency;
import org.marjoramgw.time.Timers;

/**
 * Start of one request under a {@link StartLimiter}; thread-safe. It starts again each
 * time that it has waited for a server.
 *
 * @author The marjoramgw authors
 */
final class LimitedStart {

	private final StartLimiter limiter;

	private final StartTimeouts timeouts;

	private final RequestOwner owner;

	private HeldPermit held = new HeldPermit();

	private boolean finished;

	/**
	 * Creates a start.
	 * @param limiter limits concurrently starting requests
	 * @param timeouts timeouts of starting requests
	 * @param owner owner of the request
	 */
	LimitedStart(StartLimiter limiter, StartTimeouts timeouts, RequestOwner owner) {
		this.limiter = limiter;
		this.timeouts = timeouts;
		this.owner = owner;
	}

	/**
	 * Begins or continues the request as soon as the limiter grants a permit, unless it
	 * is finished before. The place that its connection was opened with counts as one.
	 * @param urgency urgency of the request
	 * @param begin begins the request
	 */
	void run(Urgency urgency, Runnable begin) {
		if (isFinished()) {
			return;
		}
		if (this.owner.isStarting()) {
			begin.run();
			return;
		}
		HeldPermit next = replacePermit();
		next.hold(this.limiter.acquire(urgency, () -> beginWith(next, begin)));
	}

	/**
	 * Releases the permit, because the request was sent or waits for a server.
	 */
	void release() {
		replacePermit();
		this.owner.onStarted();
	}

	/**
	 * Marks the request as ended and releases its permit.
	 */
	void finish() {
		synchronized (this) {
			this.finished = true;
		}
		release();
	}

	private void beginWith(HeldPermit next, Runnable begin) {
		if (!isFinished() && next.startTimeout(this.timeouts)) {
			begin.run();
		}
	}

	private HeldPermit replacePermit() {
		HeldPermit next = new HeldPermit();
		HeldPermit previous;
		synchronized (this) {
			previous = this.held;
			this.held = next;
		}
		previous.end();
		return next;
	}

	private synchronized boolean isFinished() {
		return this.finished;
	}

	/** One permit, which may end before it was acquired. */
	private static final class HeldPermit {

		private StartLimiter.Permit permit;

		private Timers.Handle timeout = Timers.Handle.NONE;

		private boolean ended;

		private synchronized void hold(StartLimiter.Permit acquired) {
			this.permit = acquired;
			if (this.ended) {
				acquired.release();
			}
		}

		private synchronized boolean startTimeout(StartTimeouts timeouts) {
			if (!this.ended) {
				this.timeout = timeouts.begin(this::end);
			}
			return !this.ended;
		}

		private synchronized void end() {
			this.ended = true;
			this.timeout.cancel();
			if (this.permit != null) {
				this.permit.release();
			}
		}

	}

}
