package org.marjoramgw.policy.prefill;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.policy.waiting.Urgency;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that {@link PrefillLimiter#queue} tells what {@link PrefillLimiter#acquire} would
 * do.
 *
 * @author The marjoramgw authors
 */
public class PrefillQueueTests {

	private static final int STEPS = 2_000;

	private static final long TARGET_MILLIS = 1_000;

	private final ManualMillisClock clock = new ManualMillisClock(0);

	/** Guards against a queue that is explained otherwise than it is. */
	@Test
	public void queueAgreesWithTheNextAcquire() {
		Random random = TestSeed.random(41);
		PrefillLimiter limiter = new PrefillLimiter(this.clock, Runnable::run, () -> 0);
		List<PrefillLimiter.Permit> permits = new ArrayList<>();
		int waits = 0;
		for (int step = 0; step < STEPS; step++) {
			this.clock.advanceMillis(random.nextInt(200));
			if (permits.size() < 12 && random.nextBoolean()) {
				String kind = "k" + random.nextInt(2);
				Urgency urgency = Urgency.read(random.nextInt(3), this.clock.nowMillis());
				PrefillQueue queue = limiter.queue("s", kind, urgency);
				Assert.assertEquals(limiter.queue("s", kind, urgency), queue, "asking changes nothing");
				boolean[] started = new boolean[1];
				permits.add(limiter.acquire("s", kind, urgency, TARGET_MILLIS, () -> started[0] = true));
				Assert.assertEquals(started[0], queue.admits(), "step " + step);
				Assert.assertEquals(limiter.waitingCount(), queue.waitingCount() + (queue.admits() ? 0 : 1));
				waits += queue.admits() ? 0 : 1;
				if (started[0]) {
					permits.get(permits.size() - 1).onSent();
				}
			}
			else if (!permits.isEmpty()) {
				permits.remove(random.nextInt(permits.size())).onFirstToken();
			}
		}
		Assert.assertTrue(waits > STEPS / 20, "requests that waited: " + waits);
	}

	/**
	 * Guards against a position that ignores the ranks, or that the latest goes first.
	 */
	@Test
	public void countsWhatIsAdmittedBefore() {
		PrefillLimiter limiter = new PrefillLimiter(this.clock, Runnable::run, () -> 0);
		Runnable nothing = () -> {
		};
		for (int rank : new int[] { 1, 1, 1, 1, 2, 2 }) {
			limiter.acquire("s", "k", Urgency.read(rank, 0), TARGET_MILLIS, nothing);
		}
		Assert.assertEquals(limiter.queue("s", "k", Urgency.read(1, 5)), new PrefillQueue(false, 2, 4, 0));
		Assert.assertEquals(limiter.queue("s", "k", Urgency.read(2, 5)), new PrefillQueue(false, 2, 4, 2));
		Assert.assertEquals(limiter.queue("s", "k", Urgency.read(3, 5)), new PrefillQueue(false, 2, 4, 4));
		Assert.assertEquals(limiter.queue("other", "k", Urgency.read(3, 5)), new PrefillQueue(true, 0, 0, 0));
	}

}
