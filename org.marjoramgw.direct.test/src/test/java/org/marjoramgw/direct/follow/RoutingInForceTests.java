package org.marjoramgw.direct.follow;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

import org.marjoramgw.direct.Fixtures;
import org.marjoramgw.direct.model.Routing;
import org.marjoramgw.testkit.TestSeed;
import org.marjoramgw.time.AgeClock;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link RoutingInForce}.
 *
 * @author The marjoramgw authors
 */
public class RoutingInForceTests {

	private final AtomicLong steady = new AtomicLong(1_000);

	private final AtomicLong day = new AtomicLong(1_000_000);

	private final AgeClock clock = new AgeClock(this.steady::get, this.day::get);

	@Test
	public void versionsOnlyRiseWhateverOrderTheyComeIn() {
		Random random = TestSeed.random(4);
		RoutingInForce inForce = inForce();
		long highest = 0;
		for (int offset = 0; offset < 500; offset++) {
			long version = 1 + random.nextInt(200);
			boolean readable = random.nextInt(5) > 0;
			inForce.onRecords(List.of(Fixtures.record("config", readable ? "" + version : "{", offset),
					Fixtures.record("other", "999", offset)));
			highest = readable ? Math.max(highest, version) : highest;
			Assert.assertEquals(inForce.current().map(Routing::version).orElse(0L).longValue(), highest,
					"seed " + TestSeed.value());
		}
	}

	@Test
	public void deletionOfTheRecordKeepsTheConfiguration() {
		RoutingInForce inForce = inForce();
		inForce.onSnapshot(List.of(Fixtures.record("config", "3", 0)));
		inForce.onSnapshot(List.of());
		inForce.onRecords(List.of(Fixtures.record("config", null, 1)));
		Assert.assertEquals(inForce.current().orElseThrow().version(), 3);
	}

	@Test
	public void ageCountsFromTheCallThatConfirmedAndThroughSleep() {
		RoutingInForce inForce = inForce();
		Assert.assertEquals(inForce.ageMillis(), Long.MAX_VALUE);
		inForce.onSnapshot(List.of(Fixtures.record("config", "3", 0)));
		inForce.onConfirmed(this.clock.now());
		this.steady.addAndGet(100);
		this.day.addAndGet(7_100);
		Assert.assertEquals(inForce.ageMillis(), 7_100);
	}

	private RoutingInForce inForce() {
		return new RoutingInForce("config", RoutingInForceTests::decode, this.clock);
	}

	private static Optional<Routing> decode(byte[] value) {
		String text = new String(value, StandardCharsets.UTF_8);
		return text.equals("{") ? Optional.empty() : Optional.of(Fixtures.routing(Long.parseLong(text)));
	}

}
