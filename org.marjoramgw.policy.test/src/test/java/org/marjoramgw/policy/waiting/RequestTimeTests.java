package org.marjoramgw.policy.waiting;

import java.util.OptionalLong;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link RequestTime}.
 *
 * @author The marjoramgw authors
 */
public class RequestTimeTests {

	private static final OptionalLong UNKNOWN = OptionalLong.empty();

	@DataProvider
	public Object[][] limits() {
		return new Object[][] { { OptionalLong.of(1_500), OptionalLong.of(400), 400L },
				{ OptionalLong.of(1_500), OptionalLong.of(4_000), 1_500L }, { OptionalLong.of(1_500), UNKNOWN, 1_500L },
				{ UNKNOWN, OptionalLong.of(400), 400L }, { UNKNOWN, UNKNOWN, Long.MAX_VALUE } };
	}

	@Test(dataProvider = "limits")
	public void lesserLimitCounts(OptionalLong timeoutMillis, OptionalLong deadlineMillis, long allowedMillis) {
		Assert.assertEquals(RequestTime.of(timeoutMillis, deadlineMillis).allowedMillis(), allowedMillis);
	}

	@Test
	public void requestWaitsUntilItMayNotBeSentAnyMore() {
		RequestTime time = RequestTime.of(OptionalLong.of(1_000), UNKNOWN);
		for (long ageMillis = 0; ageMillis <= 1_200; ageMillis++) {
			long waitMillis = time.maxWaitMillis(ageMillis);
			Assert.assertEquals(waitMillis > 0, time.maySend(ageMillis), "age " + ageMillis);
			Assert.assertFalse(time.maySend(ageMillis + waitMillis), "age " + ageMillis);
			Assert.assertTrue(ageMillis + waitMillis <= Math.max(ageMillis, time.allowedMillis()), "age " + ageMillis);
		}
	}

	@Test
	public void unlimitedTimeNeverEnds() {
		RequestTime time = RequestTime.of(UNKNOWN, UNKNOWN);
		Assert.assertTrue(time.maySend(-1) && time.maySend(Integer.MAX_VALUE));
		Assert.assertTrue(time.maxWaitMillis(-1) > Integer.MAX_VALUE);
	}

	@Test
	public void negativeDeadlineHasPassed() {
		RequestTime time = RequestTime.of(OptionalLong.of(1_500), OptionalLong.of(-1));
		Assert.assertFalse(time.maySend(0));
		Assert.assertEquals(time.maxWaitMillis(0), 0);
	}

	@Test
	public void requestIsNotSentWhenItsCallerLeavesBeforeTheAnswerCanBegin() {
		RequestTime time = RequestTime.of(OptionalLong.of(8_000), OptionalLong.of(10_000)).withPatience(2_000, 250);
		Assert.assertTrue(time.maySend(1_750));
		Assert.assertFalse(time.maySend(1_751));
		Assert.assertEquals(time.maxWaitMillis(1_000), 751);
		Assert.assertEquals(time.remainingMillis(1_751), 8_000 - 1_751, "the time for the answer is the same");
	}

	@Test
	public void patienceBeyondTheDeadlineChangesNothing() {
		RequestTime time = RequestTime.of(OptionalLong.of(1_000), UNKNOWN);
		Assert.assertEquals(time.withPatience(Long.MAX_VALUE, 250), time);
		Assert.assertEquals(RequestTime.UNLIMITED.withPatience(2_000, 250).maxWaitMillis(0), 1_751);
	}

}
