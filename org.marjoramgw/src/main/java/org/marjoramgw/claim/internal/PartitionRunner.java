package org.marjoramgw.claim.internal;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.MillisClock;
import org.marjoramgw.claim.internal.PartitionClaims.CycleOutcome;
import org.tinylog.Logger;

/**
 * Schedules the cycles of one partition: one at a time, separated by at least the append
 * interval, with a backoff while the log service is unavailable.
 *
 * @author The marjoramgw authors
 */
public final class PartitionRunner {

	private static final long MIN_BACKOFF_MILLIS = 100;

	private static final long MAX_BACKOFF_MILLIS = 800;

	private final PartitionClaims claims;

	private final ScheduledExecutorService executor;

	private final long intervalMillis;

	private final MillisClock clock;

	private long nextCycleMillis;

	private boolean scheduled;

	private boolean running;

	private boolean rerunRequested;

	private long backoffMillis = MIN_BACKOFF_MILLIS;

	/**
	 * Creates a runner.
	 * @param claims the claims of the partition
	 * @param executor executor that runs the cycles
	 * @param intervalMillis minimum time between two cycles, in milliseconds
	 * @param clock the clock
	 */
	public PartitionRunner(PartitionClaims claims, ScheduledExecutorService executor, long intervalMillis,
			MillisClock clock) {
		this.claims = claims;
		this.executor = executor;
		this.intervalMillis = intervalMillis;
		this.clock = clock;
	}

	/**
	 * Adds an attempt for the next cycle.
	 * @param attempt the attempt
	 */
	public void submit(ClaimAttempt attempt) {
		this.claims.submit(attempt);
		requestRun();
	}

	/**
	 * Adds a result or a release for the next cycle.
	 * @param record the record
	 */
	public void submit(ClaimRecord record) {
		this.claims.submit(record);
		requestRun();
	}

	/**
	 * Tells whether results or releases wait to be appended.
	 * @return whether there are any
	 */
	public boolean hasPendingRecords() {
		return this.claims.hasPendingRecords();
	}

	private synchronized void requestRun() {
		this.rerunRequested = true;
		if (!this.running && !this.scheduled) {
			schedule();
		}
	}

	private synchronized void schedule() {
		try {
			long delayMillis = Math.max(0, this.nextCycleMillis - this.clock.nowMillis());
			this.executor.schedule(this::run, delayMillis, TimeUnit.MILLISECONDS);
			this.scheduled = true;
		}
		catch (RejectedExecutionException ex) {
			Logger.debug("cycle not scheduled: the claim store is closed");
		}
	}

	private void run() {
		begin();
		CycleOutcome outcome = CycleOutcome.LOG_UNAVAILABLE;
		try {
			outcome = this.claims.cycle();
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "cycle of a claim partition failed");
		}
		end(outcome);
	}

	private synchronized void begin() {
		this.running = true;
		this.scheduled = false;
		this.rerunRequested = false;
	}

	private synchronized void end(CycleOutcome outcome) {
		this.running = false;
		long nowMillis = this.clock.nowMillis();
		if (outcome == CycleOutcome.LOG_UNAVAILABLE) {
			this.nextCycleMillis = nowMillis + this.backoffMillis / 2
					+ ThreadLocalRandom.current().nextLong(this.backoffMillis);
			this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, this.backoffMillis * 2);
		}
		else {
			this.nextCycleMillis = nowMillis + this.intervalMillis;
			this.backoffMillis = MIN_BACKOFF_MILLIS;
		}
		if (outcome != CycleOutcome.IDLE || this.rerunRequested) {
			schedule();
		}
	}

}
