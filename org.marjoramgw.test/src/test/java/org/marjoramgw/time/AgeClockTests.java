package org.marjoramgw.time;

import java.util.concurrent.atomic.AtomicLong;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link AgeClock}.
 *
 * @author The marjoramgw authors
 */
public class AgeClockTests {

	@DataProvider
	public Object[][] steps() {
		return new Object[][] { { "both run", 500, 500, 500 }, { "the VM slept", 10, 6_010, 6_010 },
				{ "the time of day was set back", 500, -1_500, 500 },
				{ "the time of day was set forward", 500, 2_900, 2_900 } };
	}

	@Test(dataProvider = "steps")
	public void ageIsNeverTooSmall(String what, long steadyMillis, long dayMillis, long ageMillis) {
		AtomicLong steady = new AtomicLong(1_000);
		AtomicLong day = new AtomicLong(1_000_000);
		AgeClock clock = new AgeClock(steady::get, day::get);
		ClockReading start = clock.now();
		steady.addAndGet(steadyMillis);
		day.addAndGet(dayMillis);
		Assert.assertEquals(clock.ageMillis(start), ageMillis, what);
		Assert.assertEquals(clock.driftMillis(start), dayMillis - steadyMillis, what);
	}

}
