package org.marjoramgw.policy.prefill;

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
 * Tests {@link PrefillLimiter}.
 *
 * @author The marjoramgw authors
 */
public class PrefillLimiterTests {

	private static final long TARGET_MILLIS = 1_000;

	private static final long LATE_MILLIS = 601;

	private static final int INITIAL_LIMIT = 2;

	private ManualMillisClock clock;

	private PrefillLimiter gate;

	private List<String> started;

	@BeforeMethod
	public void create() {
		this.clock = new ManualMillisClock(0);
		this.gate = new PrefillLimiter(this.clock, Runnable::run);
		this.started = new ArrayList<>();
	}

	@Test
	public void newestOfThoseThatWaitGoesFirst() {
		PrefillLimiter.Permit first = fill().get(0);
		enter("old");
		enter("new");
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT);
		first.onFirstToken();
		Assert.assertEquals(this.started.get(INITIAL_LIMIT), "new");
		first.onFirstToken();
		first.release();
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT + 1, "a place is given back once");
		Assert.assertEquals(this.gate.waitingCount(), 1);
	}

	@Test
	public void lateFirstTokensShrinkTheLimitToOne() {
		for (int round = 0; round < 20; round++) {
			PrefillLimiter.Permit place = enter("late");
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
		List<PrefillLimiter.Permit> places = fill();
		this.clock.advanceMillis(LATE_MILLIS);
		places.forEach(PrefillLimiter.Permit::onFirstToken);
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
		List<PrefillLimiter.Permit> places = fill();
		this.clock.advanceMillis(LATE_MILLIS);
		places.forEach(PrefillLimiter.Permit::release);
		this.started.clear();
		fill();
		Assert.assertTrue(this.started.size() < INITIAL_LIMIT);
	}

	@Test
	public void requestThatIsPassedByLeavesTheLine() {
		PrefillLimiter.Permit first = fill().get(0);
		PrefillLimiter.Permit passed = enter("passed by");
		passed.release();
		first.onFirstToken();
		Assert.assertFalse(this.started.contains("passed by"));
	}

	@Test
	public void kindsAndServersDoNotDelayOneAnother() {
		fill();
		this.gate.acquire("s1", "other", TARGET_MILLIS, () -> this.started.add("other kind"));
		this.gate.acquire("s2", "digest", TARGET_MILLIS, () -> this.started.add("other server"));
		Assert.assertTrue(this.started.containsAll(List.of("other kind", "other server")));
	}

	@Test
	public void forgetsServersThatAreGoneAndIdle() {
		PrefillLimiter.Permit place = enter("late");
		this.clock.advanceMillis(LATE_MILLIS);
		place.onFirstToken();
		this.gate.retainServers((id) -> false);
		this.started.clear();
		fill();
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT);
	}

	@Test
	public void randomHistoriesStartEveryRequestOnceOrNever() {
		Random random = TestSeed.random(12);
		List<PrefillLimiter.Permit> places = new ArrayList<>();
		Set<Integer> seen = new HashSet<>();
		for (int request = 0; request < 3_000; request++) {
			int id = request;
			places.add(this.gate.acquire("s" + random.nextInt(2), "digest", TARGET_MILLIS,
					() -> Assert.assertTrue(seen.add(id), "seed " + TestSeed.value())));
			this.clock.advanceMillis(random.nextInt(300));
			while (random.nextBoolean() && !places.isEmpty()) {
				PrefillLimiter.Permit place = places.remove(random.nextInt(places.size()));
				if (random.nextBoolean()) {
					place.onFirstToken();
				}
				place.release();
			}
		}
		places.forEach(PrefillLimiter.Permit::release);
		Assert.assertEquals(this.gate.waitingCount(), 0, "seed " + TestSeed.value());
	}

	private List<PrefillLimiter.Permit> fill() {
		List<PrefillLimiter.Permit> places = new ArrayList<>();
		for (int request = 0; request < INITIAL_LIMIT; request++) {
			places.add(enter("reading " + request));
		}
		return places;
	}

	private PrefillLimiter.Permit enter(String name) {
		return this.gate.acquire("s1", "digest", TARGET_MILLIS, () -> this.started.add(name));
	}

}
