package org.marjoramgw.policy.waiting;

import org.marjoramgw.MillisClock;
import org.marjoramgw.time.Timers;

/**
 * Timeouts of starting requests, so that a caller or a server that doesn't respond holds
 * back no other requests; thread-safe.
 * <p>
 * Time in which this process is late with its own work isn't counted. It would let more
 * requests start just when there are too many, and in the order of the runtime's queues.
 *
 * @author The marjoramgw authors
 */
public final class StartTimeouts {

	/** Counted time after which a start has timed out. */
	private static final long TIMEOUT_MILLIS = 100;

	/** Time after which it has timed out, whatever was counted. */
	private static final long MAX_TIMEOUT_MILLIS = 500;

	private static final long CHECK_INTERVAL_MILLIS = 25;

	/** Delay of a check beyond which the time before it isn't counted. */
	private static final long MAX_DELAY_MILLIS = 15;

	private final MillisClock clock;

	private final Timers timers;

	/**
	 * Creates timeouts.
	 * @param clock monotonic clock
	 * @param timers timers whose tasks queue behind other work of the process
	 */
	public StartTimeouts(MillisClock clock, Timers timers) {
		this.clock = clock;
		this.timers = timers;
	}

	/**
	 * Begins the timeout of one start.
	 * @param onTimeout called once when the start has timed out
	 * @return handle that cancels the timeout
	 */
	public Timers.Handle begin(Runnable onTimeout) {
		StartTimeout timeout = new StartTimeout(this.clock.nowMillis(), onTimeout);
		timeout.scheduleCheck();
		return timeout::cancel;
	}

	private final class StartTimeout {

		private final long beganMillis;

		private final Runnable onTimeout;

		private long countedMillis;

		private long dueMillis;

		private Timers.Handle nextCheck = Timers.Handle.NONE;

		private boolean cancelled;

		private StartTimeout(long beganMillis, Runnable onTimeout) {
			this.beganMillis = beganMillis;
			this.onTimeout = onTimeout;
		}

		private synchronized void cancel() {
			this.cancelled = true;
			this.nextCheck.cancel();
		}

		private synchronized void scheduleCheck() {
			this.dueMillis = StartTimeouts.this.clock.nowMillis() + CHECK_INTERVAL_MILLIS;
			this.nextCheck = StartTimeouts.this.timers.schedule(CHECK_INTERVAL_MILLIS, this::check);
		}

		private void check() {
			if (isOver()) {
				this.onTimeout.run();
			}
		}

		private synchronized boolean isOver() {
			if (this.cancelled) {
				return false;
			}
			long nowMillis = StartTimeouts.this.clock.nowMillis();
			if (nowMillis - this.dueMillis <= MAX_DELAY_MILLIS) {
				this.countedMillis += CHECK_INTERVAL_MILLIS;
			}
			if (this.countedMillis >= TIMEOUT_MILLIS || nowMillis - this.beganMillis >= MAX_TIMEOUT_MILLIS) {
				return true;
			}
			scheduleCheck();
			return false;
		}

	}

}
