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
 * Tests {@link ActiveRouting}.
 *
 * @author The marjoramgw authors
 */
public class ActiveRoutingTests {

	private final AtomicLong monotonicMillis = new AtomicLong(1_000);

	private final AtomicLong timeOfDayMillis = new AtomicLong(1_000_000);

	private final AgeClock clock = new AgeClock(this.monotonicMillis::get, this.timeOfDayMillis::get);

	@Test
	public void versionsOnlyIncreaseInAnyOrder() {
		Random random = TestSeed.random(4);
		ActiveRouting inForce = createRouting();
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
	public void deletedRecordKeepsConfiguration() {
		ActiveRouting inForce = createRouting();
		inForce.onSnapshot(List.of(Fixtures.record("config", "3", 0)));
		inForce.onSnapshot(List.of());
		inForce.onRecords(List.of(Fixtures.record("config", null, 1)));
		Assert.assertEquals(inForce.current().orElseThrow().version(), 3);
	}

	@Test
	public void ageCountsFromConfirmingCallAndIncludesSuspension() {
		ActiveRouting inForce = createRouting();
		Assert.assertEquals(inForce.ageMillis(), Long.MAX_VALUE);
		inForce.onSnapshot(List.of(Fixtures.record("config", "3", 0)));
		inForce.onConfirmed(this.clock.now());
		this.monotonicMillis.addAndGet(100);
		this.timeOfDayMillis.addAndGet(7_100);
		Assert.assertEquals(inForce.ageMillis(), 7_100);
	}

	private ActiveRouting createRouting() {
		return new ActiveRouting("config", ActiveRoutingTests::decode, this.clock);
	}

	private static Optional<Routing> decode(byte[] value) {
		String text = new String(value, StandardCharsets.UTF_8);
		return text.equals("{") ? Optional.empty() : Optional.of(Fixtures.routing(Long.parseLong(text)));
	}

}
