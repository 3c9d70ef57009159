package org.marjoramgw.policy.fleet;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of the budget of the exchange and of the times of its calls to the store.
 *
 * @author The marjoramgw authors
 */
public class RoundScheduleTests {

	private static final long MINUTE_MILLIS = 60_000;

	/**
	 * Returns numbers of peers that get a digest: those of 3, of 28 and of 320 processes,
	 * the last two also with silent ones.
	 * @return the cases
	 */
	@DataProvider
	public Object[][] targetCounts() {
		return new Object[][] { { 2 }, { 24 }, { 27 } };
	}

	/** Guards against control traffic that exceeds its budget. */
	@Test(dataProvider = "targetCounts")
	public void fullDigestsKeepTheBudget(int targetCount) {
		RoundSchedule schedule = new RoundSchedule();
		long sentBytes = 0;
		int rounds = 0;
		long nowMillis = 0;
		while (nowMillis < MINUTE_MILLIS) {
			int bytes = schedule.maxDigestBytes(targetCount);
			sentBytes += (long) targetCount * (bytes + RoundSchedule.HEADER_BYTES);
			rounds++;
			nowMillis += schedule.delayMillis(targetCount, bytes);
		}
		Assert.assertTrue(sentBytes <= RoundSchedule.BYTES_PER_SECOND * (nowMillis / 1_000 + 1),
				"bytes in a minute: " + sentBytes);
		Assert.assertTrue(rounds >= MINUTE_MILLIS / RoundSchedule.MAX_INTERVAL_MILLIS, "rounds in a minute: " + rounds);
	}

	/** Guards against rounds that wait although the budget suffices. */
	@Test
	public void smallDigestsGoFourTimesASecond() {
		RoundSchedule schedule = new RoundSchedule();
		Assert.assertEquals(schedule.delayMillis(24, 70), RoundSchedule.MIN_INTERVAL_MILLIS);
		Assert.assertTrue(schedule.delayMillis(24, 150) > RoundSchedule.MIN_INTERVAL_MILLIS);
		Assert.assertEquals(schedule.maxDigestBytes(2), RoundSchedule.MAX_DIGEST_BYTES);
	}

	/** Guards against peers that lack rows for longer than the interval. */
	@Test
	public void completeDigestsAreDueAtTheStartThenEveryTwoSecondsAndOnRequest() {
		RoundSchedule schedule = new RoundSchedule();
		Assert.assertTrue(schedule.takeComplete(1_000));
		Assert.assertFalse(schedule.takeComplete(2_999));
		Assert.assertTrue(schedule.takeComplete(3_000));
		schedule.requestComplete();
		Assert.assertTrue(schedule.takeComplete(3_250));
		Assert.assertFalse(schedule.takeComplete(3_500));
	}

	/** Guards against calls to the store that cost more than the digests. */
	@Test
	public void listIsReadOnceAMinuteWhilePeersAreHeard() {
		Assert.assertEquals(readsInAnHour(true), 60);
	}

	/** Guards against a process alone that reads the list all the time. */
	@Test
	public void listIsReadSoonerWithoutPeersButEverLessOften() {
		ListingSchedule schedule = new ListingSchedule(0);
		Assert.assertFalse(schedule.takeDue(ListingSchedule.LONELY_MILLIS - 1));
		Assert.assertTrue(schedule.takeDue(ListingSchedule.LONELY_MILLIS));
		Assert.assertFalse(schedule.takeDue(ListingSchedule.LONELY_MILLIS * 3 - 1));
		Assert.assertTrue(schedule.takeDue(ListingSchedule.LONELY_MILLIS * 3));
		Assert.assertTrue(readsInAnHour(false) <= 63);
	}

	/** Guards against a process that looks for its peers only after a minute. */
	@Test
	public void listIsReadSoonAfterThePeersWereLost() {
		ListingSchedule schedule = new ListingSchedule(0);
		schedule.onHeard(30_000);
		Assert.assertFalse(schedule.takeDue(39_999));
		Assert.assertTrue(schedule.takeDue(40_000));
	}

	private static int readsInAnHour(boolean heard) {
		ListingSchedule schedule = new ListingSchedule(0);
		int reads = 0;
		for (long nowMillis = 250; nowMillis <= 60 * MINUTE_MILLIS; nowMillis += 250) {
			if (heard) {
				schedule.onHeard(nowMillis);
			}
			reads += schedule.takeDue(nowMillis) ? 1 : 0;
		}
		return reads;
	}

}
