package org.marjoramgw.policy.reading;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link ReadingGate}.
 *
 * @author The marjoramgw authors
 */
public class ReadingGateTests {

	private static final long TARGET_MILLIS = 1_000;

	private static final long LATE_MILLIS = 601;

	private static final int INITIAL_LIMIT = 2;

	private ManualMillisClock clock;

	private ReadingGate gate;

	private List<String> started;

	@BeforeMethod
	public void create() {
		this.clock = new ManualMillisClock(0);
		this.gate = new ReadingGate(this.clock, Runnable::run);
		this.started = new ArrayList<>();
	}

	@Test
	public void newestOfThoseThatWaitGoesFirst() {
		ReadingGate.Place first = fill().get(0);
		enter("old");
		enter("new");
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT);
		first.onFirstToken();
		Assert.assertEquals(this.started.get(INITIAL_LIMIT), "new");
		first.onFirstToken();
		first.leave();
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT + 1, "a place is given back once");
		Assert.assertEquals(this.gate.waitingCount(), 1);
	}

	@Test
	public void lateFirstTokensShrinkTheLimitToOne() {
		for (int round = 0; round < 20; round++) {
			ReadingGate.Place place = enter("late");
			this.clock.advanceMillis(LATE_MILLIS);
			place.onFirstToken();
		}
		this.started.clear();
		enter("one");
		enter("two");
		Assert.assertEquals(this.started, List.of("one"));
	}

	@Test
	public void promptsOfOneMomentShrinkTheLimitOnce() {
		List<ReadingGate.Place> places = fill();
		this.clock.advanceMillis(LATE_MILLIS);
		places.forEach(ReadingGate.Place::onFirstToken);
		this.started.clear();
		fill();
		Assert.assertEquals(this.started.size(), (int) (INITIAL_LIMIT * 0.7));
	}

	@Test
	public void firstTokensInTimeLetTheLimitGrow() {
		for (int round = 0; round < 40; round++) {
			enter("quick").onFirstToken();
		}
		this.started.clear();
		for (int request = 0; request < INITIAL_LIMIT * 2; request++) {
			enter("more");
		}
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT * 2);
	}

	@Test
	public void requestThatEndsLateWithoutAFirstTokenCountsAsLate() {
		List<ReadingGate.Place> places = fill();
		this.clock.advanceMillis(LATE_MILLIS);
		places.forEach(ReadingGate.Place::leave);
		this.started.clear();
		fill();
		Assert.assertTrue(this.started.size() < INITIAL_LIMIT);
	}

	@Test
	public void requestThatIsPassedByLeavesTheLine() {
		ReadingGate.Place first = fill().get(0);
		ReadingGate.Place passed = enter("passed by");
		passed.leave();
		first.onFirstToken();
		Assert.assertFalse(this.started.contains("passed by"));
	}

	@Test
	public void kindsAndServersDoNotDelayOneAnother() {
		fill();
		this.gate.enter("s1", "other", TARGET_MILLIS, () -> this.started.add("other kind"));
		this.gate.enter("s2", "digest", TARGET_MILLIS, () -> this.started.add("other server"));
		Assert.assertTrue(this.started.containsAll(List.of("other kind", "other server")));
	}

	@Test
	public void forgetsServersThatAreGoneAndIdle() {
		ReadingGate.Place place = enter("late");
		this.clock.advanceMillis(LATE_MILLIS);
		place.onFirstToken();
		this.gate.retain((id) -> false);
		this.started.clear();
		fill();
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT);
	}

	@Test
	public void randomHistoriesStartEveryRequestOnceOrNever() {
		Random random = TestSeed.random(12);
		List<ReadingGate.Place> places = new ArrayList<>();
		Set<Integer> seen = new HashSet<>();
		for (int request = 0; request < 3_000; request++) {
			int id = request;
			places.add(this.gate.enter("s" + random.nextInt(2), "digest", TARGET_MILLIS,
					() -> Assert.assertTrue(seen.add(id), "seed " + TestSeed.value())));
			this.clock.advanceMillis(random.nextInt(300));
			while (random.nextBoolean() && !places.isEmpty()) {
				ReadingGate.Place place = places.remove(random.nextInt(places.size()));
				if (random.nextBoolean()) {
					place.onFirstToken();
				}
				place.leave();
			}
		}
		places.forEach(ReadingGate.Place::leave);
		Assert.assertEquals(this.gate.waitingCount(), 0, "seed " + TestSeed.value());
	}

	private List<ReadingGate.Place> fill() {
		List<ReadingGate.Place> places = new ArrayList<>();
		for (int request = 0; request < INITIAL_LIMIT; request++) {
			places.add(enter("reading " + request));
		}
		return places;
	}

	private ReadingGate.Place enter(String name) {
		return this.gate.enter("s1", "digest", TARGET_MILLIS, () -> this.started.add(name));
	}

}
