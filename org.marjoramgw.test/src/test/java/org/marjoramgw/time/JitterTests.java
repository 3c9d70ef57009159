package org.marjoramgw.time;

import java.util.LongSummaryStatistics;
import java.util.stream.LongStream;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link Jitter}.
 *
 * @author The marjoramgw authors
 */
public class JitterTests {

	private static final long MEAN_MILLIS = 1_000;

	@Test
	public void spreadsIntervalsFromHalfToOneAndAHalfTimesTheMean() {
		Jitter jitter = new Jitter(TestSeed.random(31));
		LongSummaryStatistics intervals = LongStream.range(0, 10_000)
			.map((number) -> jitter.aroundMillis(MEAN_MILLIS))
			.summaryStatistics();
		Assert.assertTrue(intervals.getMin() >= 500 && intervals.getMin() < 550, intervals.toString());
		Assert.assertTrue(intervals.getMax() < 1_500 && intervals.getMax() > 1_450, intervals.toString());
	}

}
