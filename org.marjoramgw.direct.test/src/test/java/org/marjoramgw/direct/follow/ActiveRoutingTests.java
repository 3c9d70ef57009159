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
import org.testng.annotations.DataProvider;
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
		ActiveRouting routing = createRouting();
		long highest = 0;
		for (int offset = 0; offset < 500; offset++) {
			long version = 1 + random.nextInt(200);
			boolean readable = random.nextInt(5) > 0;
			routing.onRecords(List.of(Fixtures.record("config", readable ? "" + version : "{", offset),
					Fixtures.record("other", "999", offset)));
			highest = readable ? Math.max(highest, version) : highest;
			Assert.assertEquals(routing.current().map(Routing::version).orElse(0L).longValue(), highest,
					"seed " + TestSeed.value());
		}
	}

	@Test
	public void deletedRecordKeepsConfiguration() {
		ActiveRouting routing = createRouting();
		routing.onSnapshot(List.of(Fixtures.record("config", "3", 0)));
		routing.onSnapshot(List.of());
		routing.onRecords(List.of(Fixtures.record("config", null, 1)));
		Assert.assertEquals(routing.current().orElseThrow().version(), 3);
	}

	@Test
	public void ageCountsFromConfirmingCallAndIncludesSuspension() {
		ActiveRouting routing = createRouting();
		Assert.assertEquals(routing.ageMillis(), Long.MAX_VALUE);
		routing.onSnapshot(List.of(Fixtures.record("config", "3", 0)));
		routing.onConfirmed(this.clock.now());
		this.monotonicMillis.addAndGet(100);
		this.timeOfDayMillis.addAndGet(7_100);
		Assert.assertEquals(routing.ageMillis(), 7_100);
	}

	/**
	 * Lists what the store may contain beside the active version 3.
	 * @return the record, or null if there is none, and whether it agrees
	 */
	@DataProvider
	public Object[][] storedRecords() {
		return new Object[][] { { "3", true }, { "4", true }, { "2", false }, { "{", false }, { "fault", false },
				{ null, false } };
	}

	/**
	 * Guards against keys and refusals that rest on a read which found another
	 * configuration than the active one.
	 */
	@Test(dataProvider = "storedRecords")
	public void readConfirmsOnlyWhatTheStoreContains(String stored, boolean agrees) {
		for (boolean snapshot : new boolean[] { true, false }) {
			ActiveRouting routing = createRouting();
			routing.onSnapshot(List.of(Fixtures.record("config", "3", 0)));
			routing.onConfirmed(this.clock.now());
			this.monotonicMillis.addAndGet(500);
			KeyedRecord record = Fixtures.record("config", stored, 1);
			if (snapshot) {
				routing.onSnapshot((stored != null) ? List.of(record) : List.of());
			}
			else {
				routing.onRecords(List.of(record));
			}
			routing.onConfirmed(this.clock.now());
			Assert.assertEquals(routing.ageMillis(), agrees ? 0 : 500, stored);
			routing.onRecords(List.of(Fixtures.record("config", "5", 2)));
			routing.onConfirmed(this.clock.now());
			Assert.assertEquals(routing.ageMillis(), 0, "the next version is readable");
		}
	}

	private ActiveRouting createRouting() {
		return new ActiveRouting("config", ActiveRoutingTests::decode, this.clock);
	}

	private static Optional<Routing> decode(byte[] value) {
		String text = new String(value, StandardCharsets.UTF_8);
		if (text.equals("fault")) {
			throw new IllegalStateException("fault of the decoder");
		}
		return text.equals("{") ? Optional.empty() : Optional.of(Fixtures.routing(Long.parseLong(text)));
	}

}
