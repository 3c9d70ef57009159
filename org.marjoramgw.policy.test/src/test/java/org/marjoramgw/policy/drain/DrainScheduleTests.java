package org.marjoramgw.policy.drain;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link DrainSchedule}.
 *
 * @author The marjoramgw authors
 */
public class DrainScheduleTests {

	private static final DrainSchedule SCHEDULE = new DrainSchedule(2_600, 7_300);

	@DataProvider
	public Object[][] requests() {
		return new Object[][] { { 0, 10_000, true }, { 2_599, 10_000, true }, { 2_600, 4_701, false },
				{ 2_600, 4_700, true }, { 7_000, 300, true }, { 7_000, 301, false }, { 7_300, 1, false },
				{ 9_000, 1, false } };
	}

	@Test(dataProvider = "requests")
	public void lateRequestBeginsOnlyIfItEndsInTime(long nowMillis, long timeoutMillis, boolean expected) {
		Assert.assertEquals(SCHEDULE.mayBegin(nowMillis, timeoutMillis), expected);
	}

	@Test
	public void everyRequestBeginsInAProcessThatDoesNotStop() {
		Assert.assertTrue(DrainSchedule.NEVER.mayBegin(Long.MAX_VALUE - 1, Long.MAX_VALUE));
	}

}
