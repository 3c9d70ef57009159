package org.marjoramgw.direct.forward;

import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link LogRateLimiter}.
 *
 * @author The marjoramgw authors
 */
public class LogRateLimiterTests {

	@Test
	public void allowsMaximumInEachSecond() {
		ManualMillisClock clock = new ManualMillisClock(5_000);
		LogRateLimiter limiter = new LogRateLimiter(clock, 3);
		for (int second = 0; second < 3; second++) {
			int allowed = 0;
			for (int line = 0; line < 10; line++) {
				allowed += limiter.tryAcquire() ? 1 : 0;
			}
			Assert.assertEquals(allowed, 3);
			clock.advanceMillis(1_000);
		}
	}

}
