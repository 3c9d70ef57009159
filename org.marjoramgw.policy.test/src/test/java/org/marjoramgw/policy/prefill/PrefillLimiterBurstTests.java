package org.marjoramgw.policy.prefill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.policy.waiting.Urgency;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Simulates a burst of long prompts that exceeds the prefill rate of their server, sent
 * through the limiters of several processes, and checks when callers get their first
 * token.
 *
 * @author The marjoramgw authors
 */
public class PrefillLimiterBurstTests {

	private static final int SENDERS = 5;

	private static final long TARGET_MILLIS = 1_000;

	private static final long BURST_MILLIS = 8_000;

	/** Time that the server takes for the prefill of one prompt. */
	private static final long PREFILL_MILLIS = 100;

	/**
	 * Time between two prompts of the burst, which arrive at 1.5 times the prefill rate.
	 */
	private static final long INTERVAL_MILLIS = 66;

	/** Decoding time between the prefill of a prompt and its first token. */
	private static final long DECODE_MILLIS = 125;

	/** Callers disconnect if no token arrives for this long. */
	private static final long CALLER_TIMEOUT_MILLIS = 4_800;

	private static final double IN_TIME_VALUE = 1.3;

	private static final double LATE_VALUE = 0.38;

	/**
	 * A late answer has less than a third of the value of one in time and a missing
	 * answer has none, so that both late and missing answers count.
	 */
	@Test
	public void limiterIncreasesTheValueOfABurst() {
		Burst unlimited = new Burst(false);
		Burst limited = new Burst(true);
		unlimited.run();
		limited.run();
		Assert.assertTrue(unlimited.inTimeShare() < 0.3, "in time without a limiter: " + unlimited.inTimeShare());
		Assert.assertTrue(limited.inTimeShare() > 0.5, "in time: " + limited.inTimeShare());
		Assert.assertTrue(limited.totalValue() > 1.25 * unlimited.totalValue(),
				limited.totalValue() + " against " + unlimited.totalValue());
	}

	@Test
	public void lowLoadIsNotDelayed() {
		Burst lowLoad = new Burst(true);
		lowLoad.intervalMillis = 2 * PREFILL_MILLIS;
		lowLoad.run();
		Assert.assertEquals(lowLoad.inTimeShare(), 1.0);
		Assert.assertTrue(
				lowLoad.firstTokenMillis.stream().allMatch((wait) -> wait <= PREFILL_MILLIS + DECODE_MILLIS + SENDERS));
	}

	/**
	 * One server that processes prompts by rank, then in the order in which they were
	 * sent.
	 */
	private static final class Burst {

		private final ManualMillisClock clock = new ManualMillisClock(0);

		private final List<PrefillLimiter> limiters = new ArrayList<>();

		private final PriorityQueue<Job> queue = new PriorityQueue<>(
				Comparator.comparingInt((Job job) -> job.rank).thenComparingLong((job) -> job.sentMillis));

		private final List<Job> jobs = new ArrayList<>();

		private final List<Long> firstTokenMillis = new ArrayList<>();

		private final boolean limited;

		private long intervalMillis = INTERVAL_MILLIS;

		private Job inPrefill;

		private Burst(boolean limited) {
			this.limited = limited;
			for (int sender = 0; sender < SENDERS; sender++) {
				this.limiters.add(new PrefillLimiter(this.clock, Runnable::run, () -> 0));
			}
		}

		private double inTimeShare() {
			return this.firstTokenMillis.stream().filter((wait) -> wait <= TARGET_MILLIS).count()
					/ (double) this.jobs.size();
		}

		private double totalValue() {
			return this.firstTokenMillis.stream()
				.mapToDouble((wait) -> (wait <= TARGET_MILLIS) ? IN_TIME_VALUE : LATE_VALUE)
				.sum();
		}

		private void run() {
			for (long now = 0; now < BURST_MILLIS + CALLER_TIMEOUT_MILLIS; now++) {
				if (now < BURST_MILLIS && now % this.intervalMillis == 0) {
					arrive();
				}
				for (Job job : this.jobs) {
					advance(job, now);
				}
				prefill(now);
				this.clock.advanceMillis(1);
			}
		}

		private void arrive() {
			Job job = new Job(this.clock.nowMillis());
			this.jobs.add(job);
			if (this.limited) {
				job.permit = this.limiters.get(this.jobs.size() % SENDERS)
					.acquire("s", "digest", Urgency.read(5, job.arrivedMillis), TARGET_MILLIS, () -> send(job, 5));
				if (job.sent) {
					job.permit.onSent();
				}
			}
			else {
				send(job, 5);
			}
		}

		private void send(Job job, int rank) {
			if (!job.sent) {
				job.sent = true;
				job.rank = rank;
				job.sentMillis = this.clock.nowMillis();
				this.queue.add(job);
				if (job.permit != null) {
					job.permit.onSent();
				}
			}
		}

		private void advance(Job job, long now) {
			long age = now - job.arrivedMillis;
			if (!job.sent && age >= PrefillLimiter.maxWaitMillis(TARGET_MILLIS)) {
				job.permit.bypass();
				send(job, 9);
			}
			if (job.prefillEndMillis >= 0 && now == job.prefillEndMillis + DECODE_MILLIS) {
				this.firstTokenMillis.add(age);
				if (job.permit != null) {
					job.permit.onFirstToken();
				}
			}
			if (age == CALLER_TIMEOUT_MILLIS && job.prefillEndMillis < 0) {
				this.queue.remove(job);
				if (job.permit != null) {
					job.permit.release();
				}
			}
		}

		private void prefill(long now) {
			if (this.inPrefill != null && now >= this.inPrefill.prefillStartMillis + PREFILL_MILLIS) {
				this.inPrefill.prefillEndMillis = now;
				this.inPrefill = null;
			}
			if (this.inPrefill == null && !this.queue.isEmpty()) {
				this.inPrefill = this.queue.remove();
				this.inPrefill.prefillStartMillis = now;
			}
		}

	}

	private static final class Job {

		private final long arrivedMillis;

		private PrefillLimiter.Permit permit;

		private boolean sent;

		private int rank;

		private long sentMillis;

		private long prefillStartMillis;

		private long prefillEndMillis = -1;

		private Job(long arrivedMillis) {
			this.arrivedMillis = arrivedMillis;
		}

	}

}
