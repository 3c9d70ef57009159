package org.marjoramgw.direct.forward;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link LineRate}.
 *
 * @author The marjoramgw authors
 */
public class LineRateTests {

	@Test
	public void allowsItsBoundInEachSecond() {
		ManualMillisClock clock = new ManualMillisClock(5_000);
		LineRate rate = new LineRate(clock, 3);
		for (int second = 0; second < 3; second++) {
			int taken = 0;
			for (int line = 0; line < 10; line++) {
				taken += rate.tryTake() ? 1 : 0;
			}
			Assert.assertEquals(taken, 3);
			clock.advanceMillis(1_000);
		}
	}

}
