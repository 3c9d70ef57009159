package org.marjoramgw.policy.prefill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Plays a burst of long prompts, more than their server can read, through the gates of
 * several processes, and looks at when callers get their first token.
 *
 * @author The marjoramgw authors
 */
public class PrefillLimiterBurstTests {

	private static final int SENDERS = 5;

	private static final long TARGET_MILLIS = 1_000;

	private static final long BURST_MILLIS = 8_000;

	/** Time that the server takes to read one prompt. */
	private static final long READ_MILLIS = 100;

	/** Time between two prompts of the burst: 1.5 times what the server reads. */
	private static final long EVERY_MILLIS = 66;

	/** Steps of decoding between a prompt that was read and its first token. */
	private static final long DECODE_MILLIS = 125;

	/** Callers leave when no token has come for this long. */
	private static final long PATIENCE_MILLIS = 4_800;

	private static final double WORTH = 1.3;

	private static final double LATE_WORTH = 0.38;

	/**
	 * An answer that comes late is worth less than a third of one in time, and none is
	 * worth nothing, so that both count.
	 */
	@Test
	public void burstIsWorthMoreToItsCallersThanWithoutAGate() {
		Burst ungated = new Burst(false);
		Burst gated = new Burst(true);
		ungated.play();
		gated.play();
		Assert.assertTrue(ungated.inTimeShare() < 0.3, "in time without a gate: " + ungated.inTimeShare());
		Assert.assertTrue(gated.inTimeShare() > 0.5, "in time: " + gated.inTimeShare());
		Assert.assertTrue(gated.worth() > 1.25 * ungated.worth(), gated.worth() + " against " + ungated.worth());
	}

	@Test
	public void calmTimeIsNotDelayed() {
		Burst calm = new Burst(true);
		calm.everyMillis = 2 * READ_MILLIS;
		calm.play();
		Assert.assertEquals(calm.inTimeShare(), 1.0);
		Assert.assertTrue(calm.waits.stream().allMatch((wait) -> wait <= READ_MILLIS + DECODE_MILLIS + SENDERS));
	}

	/**
	 * One server that reads prompts by rank and then in the order in which they came.
	 */
	private static final class Burst {

		private final ManualMillisClock clock = new ManualMillisClock(0);

		private final List<PrefillLimiter> gates = new ArrayList<>();

		private final PriorityQueue<Job> queue = new PriorityQueue<>(
				Comparator.comparingInt((Job job) -> job.rank).thenComparingLong((job) -> job.sentMillis));

		private final List<Job> all = new ArrayList<>();

		private final List<Long> waits = new ArrayList<>();

		private final boolean gated;

		private long everyMillis = EVERY_MILLIS;

		private Job reading;

		private Burst(boolean gated) {
			this.gated = gated;
			for (int sender = 0; sender < SENDERS; sender++) {
				this.gates.add(new PrefillLimiter(this.clock, Runnable::run));
			}
		}

		private double inTimeShare() {
			return this.waits.stream().filter((wait) -> wait <= TARGET_MILLIS).count() / (double) this.all.size();
		}

		private double worth() {
			return this.waits.stream().mapToDouble((wait) -> (wait <= TARGET_MILLIS) ? WORTH : LATE_WORTH).sum();
		}

		private void play() {
			for (long now = 0; now < BURST_MILLIS + PATIENCE_MILLIS; now++) {
				if (now < BURST_MILLIS && now % this.everyMillis == 0) {
					arrive();
				}
				for (Job job : this.all) {
					advance(job, now);
				}
				read(now);
				this.clock.advanceMillis(1);
			}
		}

		private void arrive() {
			Job job = new Job(this.clock.nowMillis());
			this.all.add(job);
			if (this.gated) {
				job.place = this.gates.get(this.all.size() % SENDERS)
					.acquire("s", "digest", TARGET_MILLIS, () -> send(job, 5));
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
			}
		}

		private void advance(Job job, long now) {
			long age = now - job.arrivedMillis;
			if (!job.sent && age >= PrefillLimiter.maxWaitMillis(TARGET_MILLIS)) {
				job.place.release();
				send(job, 9);
			}
			if (job.readMillis >= 0 && now == job.readMillis + DECODE_MILLIS) {
				this.waits.add(age);
				if (job.place != null) {
					job.place.onFirstToken();
				}
			}
			if (age == PATIENCE_MILLIS && job.readMillis < 0) {
				this.queue.remove(job);
				if (job.place != null) {
					job.place.release();
				}
			}
		}

		private void read(long now) {
			if (this.reading != null && now >= this.reading.startMillis + READ_MILLIS) {
				this.reading.readMillis = now;
				this.reading = null;
			}
			if (this.reading == null && !this.queue.isEmpty()) {
				this.reading = this.queue.remove();
				this.reading.startMillis = now;
			}
		}

	}

	private static final class Job {

		private final long arrivedMillis;

		private PrefillLimiter.Permit place;

		private boolean sent;

		private int rank;

		private long sentMillis;

		private long startMillis;

		private long readMillis = -1;

		private Job(long arrivedMillis) {
			this.arrivedMillis = arrivedMillis;
		}

	}

}
