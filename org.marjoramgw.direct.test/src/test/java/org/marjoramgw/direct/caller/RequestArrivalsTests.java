package org.marjoramgw.direct.caller;

import org.marjoramgw.time.ClockReading;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link RequestArrivals}.
 *
 * @author The marjoramgw authors
 */
public class RequestArrivalsTests {

	private RequestArrivals arrivals;

	@BeforeMethod
	public void accept() {
		this.arrivals = new RequestArrivals(at(0));
	}

	@Test
	public void requestArrivesWithItsFirstBytes() {
		this.arrivals.onBytes(at(10));
		this.arrivals.onBytes(at(20));
		Assert.assertEquals(this.arrivals.next(), at(10));
		Assert.assertEquals(this.arrivals.beginRequest(), at(10));
		this.arrivals.onBytes(at(30));
		this.arrivals.endBody();
		this.arrivals.onBytes(at(40));
		this.arrivals.onBytes(at(50));
		Assert.assertEquals(this.arrivals.beginRequest(), at(40), "bytes of the body don't count");
	}

	@Test
	public void requestSentTogetherWithTheOneBeforeArrivesWithIt() {
		this.arrivals.onBytes(at(10));
		this.arrivals.beginRequest();
		this.arrivals.endBody();
		Assert.assertEquals(this.arrivals.beginRequest(), at(10));
	}

	private static ClockReading at(long millis) {
		return new ClockReading(millis, 1_000 + millis);
	}

}
