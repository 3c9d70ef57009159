package org.marjoramgw.policy.slot;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link AdaptiveSlotLimit} by tables.
 *
 * @author The marjoramgw authors
 */
public class AdaptiveSlotLimitTests {

	private static final long TARGET_MILLIS = 50;

	@DataProvider
	public Object[][] cases() {
		return new Object[][] { { "gaps over the target lower the limit", 60.0, 3, 8, 5 },
				{ "never below the minimum", 60.0, 20, 8, 2 }, { "gaps near the target keep the limit", 47.0, 3, 8, 8 },
				{ "small gaps don't raise the limit over its maximum", 10.0, 3, 8, 8 } };
	}

	@Test(dataProvider = "cases")
	public void adjustsToTheGaps(String name, double gapMillis, int periods, int inFlight, int expected) {
		AdaptiveSlotLimit limit = new AdaptiveSlotLimit(2, 8);
		for (int period = 0; period < periods; period++) {
			limit.observeTokenGap(gapMillis, TARGET_MILLIS);
			limit.adjust(inFlight);
		}
		Assert.assertEquals(limit.slots(), expected, name);
	}

	@Test
	public void appliesTheStrictestTargetOfAMixedBatch() {
		AdaptiveSlotLimit limit = new AdaptiveSlotLimit(2, 8);
		for (int stream = 0; stream < 7; stream++) {
			limit.observeTokenGap(60, 4 * TARGET_MILLIS);
		}
		limit.observeTokenGap(60, TARGET_MILLIS);
		Assert.assertEquals(limit.adjust(8), 7, "one stream with a strict target among lenient ones");
		limit.observeTokenGap(60, 4 * TARGET_MILLIS);
		Assert.assertEquals(limit.adjust(7), 6, "the strict target is retained");
		for (int period = 0; period < 100; period++) {
			limit.observeTokenGap(60, 4 * TARGET_MILLIS);
			limit.adjust(8);
		}
		Assert.assertEquals(limit.slots(), 8, "and dropped after the retention time");
	}

	@Test
	public void risesOnlyWhileAllSlotsAreTaken() {
		AdaptiveSlotLimit limit = new AdaptiveSlotLimit(2, 8);
		for (int period = 0; period < 4; period++) {
			limit.observeTokenGap(2 * TARGET_MILLIS, TARGET_MILLIS);
			limit.adjust(8);
		}
		limit.observeTokenGap(1, TARGET_MILLIS);
		Assert.assertEquals(limit.adjust(3), 4, "a slot was free");
		limit.observeTokenGap(1, TARGET_MILLIS);
		Assert.assertEquals(limit.adjust(4), 5, "all slots were taken");
		Assert.assertEquals(limit.adjust(5), 5, "nothing was measured");
	}

}
