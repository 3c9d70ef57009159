package org.marjoramgw.direct.forward;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link RecentSends}.
 *
 * @author The marjoramgw authors
 */
public class RecentSendsTests {

	private static final int MORE_THAN_REMEMBERED = 2_000;

	@Test
	public void countsLessUrgentRequestsSentSinceTheArrival() {
		RecentSends sends = new RecentSends();
		Assert.assertEquals(sends.onSend(5, 0, 10), 0);
		Assert.assertEquals(sends.onSend(4, 5, 20), 1);
		Assert.assertEquals(sends.onSend(5, 5, 30), 0, "none of its own rank");
		Assert.assertEquals(sends.onSend(3, 15, 40), 2, "those sent before its arrival don't count");
	}

	@Test
	public void countsAtMostWhatIsRemembered() {
		RecentSends sends = new RecentSends();
		for (int number = 0; number < MORE_THAN_REMEMBERED; number++) {
			sends.onSend(1, number, number);
		}
		int counted = sends.onSend(0, 0, MORE_THAN_REMEMBERED);
		Assert.assertTrue(counted > 0 && counted < MORE_THAN_REMEMBERED, "counted " + counted);
	}

}
