package org.marjoramgw.policy.retry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link WindowRetryBudget}.
 *
 * @author The marjoramgw authors
 */
public class WindowRetryBudgetTests {

	private static final long WINDOW_MILLIS = 10_000;

	private static final double RATIO = 0.2;

	private static final int FREE = 3;

	@Test
	public void noWindowHoldsMoreRetriesThanItsRequestsEarn() {
		Random random = TestSeed.random(3);
		ManualMillisClock clock = new ManualMillisClock(0);
		WindowRetryBudget budget = new WindowRetryBudget(clock, WINDOW_MILLIS, RATIO, FREE);
		Deque<Long> requests = new ArrayDeque<>();
		Deque<Long> retries = new ArrayDeque<>();
		for (int step = 0; step < 20_000; step++) {
			clock.advanceMillis(random.nextInt(60));
			if (random.nextInt(3) > 0) {
				budget.onRequest("llm");
				requests.addLast(clock.nowMillis());
			}
			else if (budget.tryRetry("llm")) {
				retries.addLast(clock.nowMillis());
			}
			dropOld(requests, clock.nowMillis());
			dropOld(retries, clock.nowMillis());
			Assert.assertTrue(retries.size() <= FREE + RATIO * requests.size(),
					"seed " + TestSeed.value() + " step " + step + ": " + retries.size() + " of " + requests.size());
		}
	}

	@Test
	public void servicesHaveSeparateBudgets() {
		WindowRetryBudget budget = new WindowRetryBudget(new ManualMillisClock(0), WINDOW_MILLIS, RATIO, 1);
		Assert.assertTrue(budget.tryRetry("a"));
		Assert.assertFalse(budget.tryRetry("a"));
		Assert.assertTrue(budget.tryRetry("b"));
	}

	private static void dropOld(Deque<Long> times, long nowMillis) {
		while (!times.isEmpty() && times.peekFirst() <= nowMillis - WINDOW_MILLIS) {
			times.removeFirst();
		}
	}

}
