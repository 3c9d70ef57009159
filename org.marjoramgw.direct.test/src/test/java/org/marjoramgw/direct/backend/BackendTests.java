package org.marjoramgw.direct.backend;

import java.util.Set;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.marjoramgw.ManualMillisClock;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link ServerHealth} and {@link KeepAlive}.
 *
 * @author The marjoramgw authors
 */
public class BackendTests {

	private final ManualMillisClock clock = new ManualMillisClock(1_000);

	@Test
	public void consecutiveFailuresMakeServerTemporarilySuspect() {
		ServerHealth health = new ServerHealth(this.clock);
		health.onFailure("a");
		health.onSuccess("a");
		health.onFailure("a");
		Assert.assertFalse(health.isSuspect("a"));
		health.onFailure("a");
		Assert.assertTrue(health.isSuspect("a"));
		this.clock.advanceMillis(600);
		Assert.assertFalse(health.isSuspect("a"), "due for a probe");
		health.onFailure("a");
		this.clock.advanceMillis(600);
		Assert.assertTrue(health.isSuspect("a"), "suspect for longer after a failed probe");
		health.onSuccess("a");
		Assert.assertFalse(health.isSuspect("a"));
	}

	@Test
	public void loadOfRemovedServerIsKeptUntilReleased() {
		ServerHealth health = new ServerHealth(this.clock);
		health.addLoad("a", 2);
		health.retain(Set.of());
		Assert.assertEquals(health.load("a"), 2.0);
		health.addLoad("a", -2);
		health.retain(Set.of());
		Assert.assertEquals(health.load("a"), 0.0);
	}

	@DataProvider
	public Object[][] keepAlives() {
		return new Object[][] { { "Keep-Alive", "timeout=5", 3_000 }, { "Keep-Alive", "timeout=5, max=100", 3_000 },
				{ "Keep-Alive", "nonsense", 200 }, { "X-Other", "timeout=5", 200 }, { "Connection", "close", 0 },
				{ "Connection", "Close", 0 } };
	}

	@Test(dataProvider = "keepAlives")
	public void keepsConnectionShorterThanItsServer(String name, String value, long keepMillis) {
		HttpResponse response = HttpResponse.create().addHeader(RawHeader.create(name, value));
		Assert.assertEquals(KeepAlive.keepMillis(response), keepMillis);
	}

}
