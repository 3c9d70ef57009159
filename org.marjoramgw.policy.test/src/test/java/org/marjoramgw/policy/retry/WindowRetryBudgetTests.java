package org.marjoramgw.policy.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
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
		WindowRetryBudget budget = new WindowRetryBudget(clock, WINDOW_MILLIS, RATIO, () -> FREE);
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
		WindowRetryBudget budget = new WindowRetryBudget(new ManualMillisClock(0), WINDOW_MILLIS, RATIO, () -> 1);
		Assert.assertTrue(budget.tryRetry("a"));
		Assert.assertFalse(budget.tryRetry("a"));
		Assert.assertTrue(budget.tryRetry("b"));
	}

	/**
	 * A service that refuses everything makes every process spend its whole budget.
	 */
	@Test
	public void manyProcessesTogetherStayWithinTheBudget() {
		int processCount = 33;
		int serverCount = 47;
		double freeCount = 106;
		ManualMillisClock clock = new ManualMillisClock(0);
		List<WindowRetryBudget> budgets = new ArrayList<>();
		for (int process = 0; process < processCount; process++) {
			budgets.add(new WindowRetryBudget(clock, WINDOW_MILLIS, RATIO, () -> freeCount / serverCount));
		}
		Random random = TestSeed.random(3);
		Deque<Long> requests = new ArrayDeque<>();
		Deque<Long> retries = new ArrayDeque<>();
		for (int step = 0; step < 5_000; step++) {
			clock.advanceMillis(12);
			WindowRetryBudget budget = budgets.get(random.nextInt(processCount));
			budget.onRequest("s");
			requests.addLast(clock.nowMillis());
			while (budget.tryRetry("s")) {
				retries.addLast(clock.nowMillis());
			}
			dropOld(requests, clock.nowMillis());
			dropOld(retries, clock.nowMillis());
			Assert.assertTrue(retries.size() <= freeCount + RATIO * requests.size(),
					"step " + step + ": " + retries.size() + " of " + requests.size());
		}
	}

	private static void dropOld(Deque<Long> times, long nowMillis) {
		while (!times.isEmpty() && times.peekFirst() <= nowMillis - WINDOW_MILLIS) {
			times.removeFirst();
		}
	}

}
