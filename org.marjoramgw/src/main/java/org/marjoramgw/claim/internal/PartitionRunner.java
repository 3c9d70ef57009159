package org.marjoramgw.claim.internal;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.MillisClock;
import org.marjoramgw.claim.internal.PartitionClaims.CycleOutcome;
import org.tinylog.Logger;

/**
 * Runner of the cycles of one partition: one at a time, no closer together than the
 * append interval, further apart while the log fails.
 *
 * @author The marjoramgw authors
 */
public final class PartitionRunner {

	private static final long MIN_BACKOFF_MILLIS = 100;

	private static final long MAX_BACKOFF_MILLIS = 800;

	private final PartitionClaims claims;

	private final ScheduledExecutorService threads;

	private final long intervalMillis;

	private final long lingerMillis;

	private final MillisClock clock;

	private ScheduledFuture<?> next;

	private long nextMillis;

	private long earliestMillis;

	private long wantedMillis = Long.MAX_VALUE;

	private boolean running;

	private long backoffMillis = MIN_BACKOFF_MILLIS;

	/**
	 * Creates a runner.
	 * @param claims the claims of the partition
	 * @param threads threads that run the cycles
	 * @param intervalMillis least time between two cycles, in milliseconds
	 * @param lingerMillis longest wait of a result for a claim, in milliseconds
	 * @param clock the clock
	 */
	public PartitionRunner(PartitionClaims claims, ScheduledExecutorService threads, long intervalMillis,
			long lingerMillis, MillisClock clock) {
		this.claims = claims;
		this.threads = threads;
		this.intervalMillis = intervalMillis;
		this.lingerMillis = lingerMillis;
		this.clock = clock;
	}

	/**
	 * Adds an attempt for the next cycle.
	 * @param attempt the attempt
	 */
	public void submit(ClaimAttempt attempt) {
		this.claims.submit(attempt);
		wakeWithin(0);
	}

	/**
	 * Adds a release for the next cycle.
	 * @param release the record
	 */
	public void submit(ClaimRecord.Release release) {
		this.claims.submit(release);
		wakeWithin(0);
	}

	/**
	 * Adds a result, which may wait a little for a claim that shares its append.
	 * @param result the record
	 */
	public void submit(ClaimRecord.Result result) {
		this.claims.submit(result);
		wakeWithin(this.lingerMillis);
	}

	/**
	 * Tells whether records wait for the log.
	 * @return whether results or releases are left
	 */
	public boolean hasUnsent() {
		return this.claims.hasUnsent();
	}

	private synchronized void wakeWithin(long delayMillis) {
		long atMillis = Math.max(this.clock.nowMillis() + delayMillis, this.earliestMillis);
		if (this.running) {
			this.wantedMillis = Math.min(this.wantedMillis, atMillis);
		}
		else if (this.next == null || atMillis < this.nextMillis) {
			schedule(atMillis);
		}
	}

	private synchronized void schedule(long atMillis) {
		if (this.next != null) {
			this.next.cancel(false);
		}
		try {
			this.nextMillis = atMillis;
			long delayMillis = Math.max(0, atMillis - this.clock.nowMillis());
			this.next = this.threads.schedule(this::run, delayMillis, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			Logger.debug("no more cycles: the book is closed");
		}
	}

	private void run() {
		if (!begin()) {
			return;
		}
		CycleOutcome outcome = CycleOutcome.LOG_AWAY;
		try {
			outcome = this.claims.cycle();
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "cycle of a claim partition failed");
		}
		end(outcome);
	}

	private synchronized boolean begin() {
		if (this.running) {
			return false;
		}
		this.running = true;
		this.next = null;
		this.wantedMillis = Long.MAX_VALUE;
		return true;
	}

	private synchronized void end(CycleOutcome outcome) {
		this.running = false;
		long nowMillis = this.clock.nowMillis();
		if (outcome == CycleOutcome.LOG_AWAY) {
			this.earliestMillis = nowMillis + this.backoffMillis / 2
					+ ThreadLocalRandom.current().nextLong(this.backoffMillis);
			this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, this.backoffMillis * 2);
		}
		else {
			this.earliestMillis = nowMillis + this.intervalMillis;
			this.backoffMillis = MIN_BACKOFF_MILLIS;
		}
		if (outcome != CycleOutcome.IDLE) {
			schedule(this.earliestMillis);
		}
		else if (this.wantedMillis != Long.MAX_VALUE) {
			schedule(Math.max(this.wantedMillis, this.earliestMillis));
		}
	}

}
