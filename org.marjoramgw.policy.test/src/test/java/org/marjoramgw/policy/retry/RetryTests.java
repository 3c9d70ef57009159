package org.marjoramgw.policy.retry;

import java.util.Random;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link RetryBudget} and {@link Backoff}.
 *
 * @author The marjoramgw authors
 */
public class RetryTests {

	private static final int REQUESTS = 10_000;

	@DataProvider
	public Object[][] shares() {
		return new Object[][] { { 0 }, { 1 }, { 10 }, { 50 }, { 100 } };
	}

	@Test(dataProvider = "shares")
	public void neverExceedsTheShareAndTheInitialBalance(int retryPercent) {
		RetryBudget budget = new RetryBudget(10);
		int allowed = 0;
		Random random = TestSeed.random(retryPercent);
		for (int request = 0; request < REQUESTS; request++) {
			budget.onRequest("a", retryPercent);
			for (int retry = random.nextInt(4); retry > 0; retry--) {
				allowed += budget.tryRetry("a") ? 1 : 0;
			}
		}
		Assert.assertTrue(allowed <= 10 + REQUESTS * retryPercent / 100, "seed " + TestSeed.value() + ": " + allowed);
	}

	@Test
	public void classesHaveSeparateBudgets() {
		RetryBudget budget = new RetryBudget(1);
		Assert.assertTrue(budget.tryRetry("low"));
		Assert.assertFalse(budget.tryRetry("low"));
		Assert.assertTrue(budget.tryRetry("high"));
	}

	@Test
	public void delaysGrowWithJitterAndStayBounded() {
		Backoff backoff = new Backoff(20, 500, TestSeed.random(1));
		for (int retry = 1; retry < 70; retry++) {
			long bound = (retry < 6) ? 20L << (retry - 1) : 500;
			long delay = backoff.delayMillis(retry);
			Assert.assertTrue(delay >= Math.min(bound, 500) / 2 && delay <= Math.min(bound, 500), retry + ": " + delay);
		}
	}

}
