package org.marjoramgw.policy.slot;

import java.util.Optional;

import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that an engine too slow for the token gap target of a class defers the requests
 * of that class, so that faster engines can serve them first.
 *
 * @author The marjoramgw authors
 */
public class SlowEngineTests {

	private static final long NOW_MILLIS = 10_000;

	@DataProvider
	public Object[][] cases() {
		return new Object[][] { { "fast engine", "tiers", 40.0, 0L, 0L, true },
				{ "slow engine, at once", "tiers", 90.0, 0L, 0L, false },
				{ "slow engine, after a part of the time to the target", "tiers", 90.0, 0L, 200L, true },
				{ "slow engine, measured long ago", "tiers", 90.0, 6_000L, 0L, true },
				{ "slow engine, first come first served", "fcfs", 90.0, 0L, 0L, true } };
	}

	@Test(dataProvider = "cases")
	public void grantsUnlessDeferred(String name, String order, double gapMillis, long measuredAgoMillis,
			long waitedMillis, boolean granted) {
		Configuration configuration = TestConfiguration.of(order);
		RequestClass reply = configuration.classes().get("reply");
		SlotScheduler scheduler = new SlotScheduler(true, 1, 0);
		scheduler.configure(configuration);
		scheduler.observeTokenGap(reply.name(), gapMillis);
		scheduler.adjustLimit(NOW_MILLIS - measuredAgoMillis);
		WaitingRequest request = scheduler.newRequest(new RequestKey("entry", 1, "r", 1), reply, "large", 5_000,
				NOW_MILLIS);
		scheduler.offer(request, NOW_MILLIS);
		Optional<WaitingRequest> next = scheduler.grantNext(NOW_MILLIS + waitedMillis);
		Assert.assertEquals(next.isPresent(), granted, name);
	}

}
