package org.marjoramgw.claim.internal;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
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

	private final MillisClock clock;

	private boolean scheduled;

	private boolean moreArrived;

	private long nextCycleMillis;

	private long backoffMillis = MIN_BACKOFF_MILLIS;

	/**
	 * Creates a runner.
	 * @param claims the claims of the partition
	 * @param threads threads that run the cycles
	 * @param intervalMillis least time between two cycles, in milliseconds
	 * @param clock the clock
	 */
	public PartitionRunner(PartitionClaims claims, ScheduledExecutorService threads, long intervalMillis,
			MillisClock clock) {
		this.claims = claims;
		this.threads = threads;
		this.intervalMillis = intervalMillis;
		this.clock = clock;
	}

	/**
	 * Adds an attempt.
	 * @param attempt the attempt
	 */
	public void submit(ClaimAttempt attempt) {
		this.claims.submit(attempt);
		wake();
	}

	/**
	 * Adds a result or a release.
	 * @param record the record
	 */
	public void submit(ClaimRecord record) {
		this.claims.submit(record);
		wake();
	}

	/**
	 * Tells whether records wait for the log.
	 * @return whether results or releases are left
	 */
	public boolean hasUnsent() {
		return this.claims.hasUnsent();
	}

	private synchronized void wake() {
		this.moreArrived = true;
		if (!this.scheduled) {
			schedule(Math.max(0, this.nextCycleMillis - this.clock.nowMillis()));
		}
	}

	private synchronized void schedule(long delayMillis) {
		try {
			this.scheduled = true;
			this.threads.schedule(this::run, delayMillis, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			// The book is closed; attempts time out as not run.
			this.scheduled = false;
		}
	}

	private void run() {
		synchronized (this) {
			this.moreArrived = false;
		}
		try {
			next(this.claims.cycle());
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "cycle of a claim partition failed");
			next(CycleOutcome.LOG_AWAY);
		}
	}

	private synchronized void next(CycleOutcome outcome) {
		if (outcome == CycleOutcome.LOG_AWAY) {
			long jitterMillis = ThreadLocalRandom.current().nextLong(this.backoffMillis);
			schedule(this.backoffMillis / 2 + jitterMillis);
			this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, this.backoffMillis * 2);
			return;
		}
		this.backoffMillis = MIN_BACKOFF_MILLIS;
		this.nextCycleMillis = this.clock.nowMillis() + this.intervalMillis;
		boolean work = outcome == CycleOutcome.MORE || this.moreArrived;
		this.scheduled = false;
		if (work) {
			schedule(this.intervalMillis);
		}
	}

}
