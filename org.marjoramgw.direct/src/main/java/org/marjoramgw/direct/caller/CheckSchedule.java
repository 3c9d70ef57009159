package org.marjoramgw.direct.caller;

import java.util.function.LongSupplier;

import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Runs a check that is needed only at times; thread-safe. The check never runs more than
 * once at the same time.
 *
 * @author The marjoramgw authors
 */
final class CheckSchedule {

	/** Delay of a check that isn't needed any more. */
	static final long NEVER = Long.MAX_VALUE;

	private final Timers timers;

	private final LongSupplier clock;

	private final Runnable check;

	private final LongSupplier nextDelayMillis;

	private Timers.Handle next = Timers.Handle.NONE;

	private long dueMillis = NEVER;

	private boolean running;

	/**
	 * Creates a schedule without a check that is due.
	 * @param timers timers
	 * @param clock monotonic clock, in milliseconds
	 * @param check the check
	 * @param nextDelayMillis returns after each check the delay of the next one, in
	 * milliseconds, or {@link #NEVER}; must not block
	 */
	CheckSchedule(Timers timers, LongSupplier clock, Runnable check, LongSupplier nextDelayMillis) {
		this.timers = timers;
		this.clock = clock;
		this.check = check;
		this.nextDelayMillis = nextDelayMillis;
	}

	/**
	 * Lets the check run unless it is due earlier. While it runs, its own delay counts.
	 * @param delayMillis longest delay, in milliseconds
	 */
	synchronized void runWithin(long delayMillis) {
		long wantedMillis = this.clock.getAsLong() + delayMillis;
		if (this.running || this.dueMillis <= wantedMillis) {
			return;
		}
		this.next.cancel();
		this.dueMillis = wantedMillis;
		this.next = this.timers.schedule(delayMillis, this::run);
	}

	private void run() {
		if (!begin()) {
			return;
		}
		try {
			this.check.run();
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "periodic check failed");
		}
		finally {
			end();
		}
	}

	private synchronized boolean begin() {
		if (this.running) {
			return false;
		}
		this.running = true;
		this.dueMillis = NEVER;
		return true;
	}

	private synchronized void end() {
		this.running = false;
		// Asked for under the lock, so that no request to check is lost.
		long delayMillis = this.nextDelayMillis.getAsLong();
		if (delayMillis != NEVER) {
			runWithin(delayMillis);
		}
	}

}
