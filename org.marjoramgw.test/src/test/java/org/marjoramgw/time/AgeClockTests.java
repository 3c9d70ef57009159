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
		return new Object[][] { { "both run", 500, 500, 500 }, { "the VM was suspended", 10, 6_010, 6_010 },
				{ "the time of day was set back", 500, -1_500, 500 },
				{ "the time of day was set forward", 500, 2_900, 2_900 } };
	}

	@Test(dataProvider = "steps")
	public void ageIsNeverTooSmall(String description, long monotonicMillis, long wallClockMillis, long ageMillis) {
		AtomicLong monotonic = new AtomicLong(1_000);
		AtomicLong wallClock = new AtomicLong(1_000_000);
		AgeClock clock = new AgeClock(monotonic::get, wallClock::get);
		ClockReading start = clock.now();
		monotonic.addAndGet(monotonicMillis);
		wallClock.addAndGet(wallClockMillis);
		Assert.assertEquals(clock.ageMillis(start), ageMillis, description);
		Assert.assertEquals(clock.driftMillis(start), wallClockMillis - monotonicMillis, description);
	}

}
