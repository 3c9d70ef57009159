package org.marjoramgw.policy.waiting;

import java.util.OptionalInt;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link StartLimiter#waitingBefore}.
 *
 * @author The marjoramgw authors
 */
public class WaitingBeforeTests {

	private static final Runnable NOTHING = () -> {
	};

	/**
	 * Guards against a position that ignores the ranks, or that the latest goes first.
	 */
	@Test
	public void countsWhatStartsBefore() {
		StartLimiter limiter = new StartLimiter(1, Runnable::run);
		Assert.assertEquals(limiter.waitingBefore(Urgency.read(1, 5)), OptionalInt.empty());
		StartLimiter.Permit first = limiter.acquire(Urgency.read(1, 0), NOTHING);
		Assert.assertEquals(limiter.waitingBefore(Urgency.read(1, 5)), OptionalInt.of(0));
		for (int rank : new int[] { 1, 1, 2 }) {
			limiter.acquire(Urgency.read(rank, 0), NOTHING);
		}
		Assert.assertEquals(limiter.waitingBefore(Urgency.read(0, 5)), OptionalInt.of(0));
		Assert.assertEquals(limiter.waitingBefore(Urgency.read(1, 5)), OptionalInt.of(0));
		Assert.assertEquals(limiter.waitingBefore(Urgency.read(2, 5)), OptionalInt.of(2));
		Assert.assertEquals(limiter.waitingBefore(Urgency.read(3, 5)), OptionalInt.of(3));
		Assert.assertEquals(limiter.waitingCount(), 3);
		first.release();
	}

}
