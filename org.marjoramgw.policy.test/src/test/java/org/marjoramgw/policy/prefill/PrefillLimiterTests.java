package org.marjoramgw.policy.prefill;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.policy.waiting.Urgency;
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

	private static final int RANK = 2;

	private static final int URGENT_RANK = 1;

	private ManualMillisClock clock;

	private PrefillLimiter limiter;

	private List<String> started;

	private long lagMillis;

	private long acquiredCount;

	@BeforeMethod
	public void create() {
		this.clock = new ManualMillisClock(0);
		this.limiter = new PrefillLimiter(this.clock, Runnable::run, () -> this.lagMillis);
		this.started = new ArrayList<>();
		this.lagMillis = 0;
	}

	@Test
	public void admitsTheNewestWaitingRequestFirst() {
		PrefillLimiter.Permit first = acquireInitialLimit().get(0);
		acquire("old");
		acquire("new");
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT);
		first.onFirstToken();
		Assert.assertEquals(this.started.get(INITIAL_LIMIT), "new");
		first.onFirstToken();
		first.release();
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT + 1, "a permit is released once");
		Assert.assertEquals(this.limiter.waitingCount(), 1);
	}

	@Test
	public void requestsThatWaitAtAServerThatLeavesAreStarted() {
		List<PrefillLimiter.Permit> permits = acquireInitialLimit();
		PrefillLimiter.Permit old = acquire("old");
		acquire("new");
		this.started.clear();
		this.limiter.startWaiting("other");
		Assert.assertEquals(this.started, List.of());
		this.limiter.startWaiting("s1");
		Assert.assertEquals(this.started, List.of("new", "old"));
		old.release();
		permits.forEach(PrefillLimiter.Permit::onFirstToken);
		Assert.assertEquals(this.started.size(), 2, "each is started once");
		Assert.assertEquals(this.limiter.waitingCount(), 0);
	}

	@Test
	public void lateFirstTokensShrinkTheLimitToOne() {
		for (int round = 0; round < 20; round++) {
			PrefillLimiter.Permit permit = acquire("late");
			this.clock.advanceMillis(LATE_MILLIS);
			permit.onFirstToken();
		}
		this.started.clear();
		acquire("one");
		acquire("two");
		Assert.assertEquals(this.started, List.of("one"));
	}

	@Test
	public void promptsSentTogetherShrinkTheLimitOnce() {
		List<PrefillLimiter.Permit> permits = acquireInitialLimit();
		this.clock.advanceMillis(LATE_MILLIS);
		permits.forEach(PrefillLimiter.Permit::onFirstToken);
		this.started.clear();
		acquireInitialLimit();
		Assert.assertEquals(this.started.size(), (int) (INITIAL_LIMIT * 0.7));
	}

	@Test
	public void firstTokensInTimeLetTheLimitGrow() {
		for (int round = 0; round < 40; round++) {
			acquire("quick").onFirstToken();
		}
		this.started.clear();
		for (int request = 0; request < INITIAL_LIMIT * 2; request++) {
			acquire("more");
		}
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT * 2);
	}

	@Test
	public void requestThatEndsLateWithoutAFirstTokenCountsAsLate() {
		List<PrefillLimiter.Permit> permits = acquireInitialLimit();
		this.clock.advanceMillis(LATE_MILLIS);
		permits.forEach(PrefillLimiter.Permit::release);
		this.started.clear();
		acquireInitialLimit();
		Assert.assertTrue(this.started.size() < INITIAL_LIMIT);
	}

	@Test
	public void requestSentWithoutAPermitIsNotAdmittedLater() {
		PrefillLimiter.Permit first = acquireInitialLimit().get(0);
		PrefillLimiter.Permit unadmitted = acquire("sent without a permit");
		unadmitted.release();
		first.onFirstToken();
		Assert.assertFalse(this.started.contains("sent without a permit"));
	}

	@Test
	public void kindsAndServersDoNotDelayOneAnother() {
		acquireInitialLimit();
		this.limiter.acquire("s1", "other", urgency(RANK), TARGET_MILLIS, () -> this.started.add("other kind"));
		this.limiter.acquire("s2", "digest", urgency(RANK), TARGET_MILLIS, () -> this.started.add("other server"));
		Assert.assertTrue(this.started.containsAll(List.of("other kind", "other server")));
	}

	@Test
	public void discardsLimitsOfGoneAndIdleServers() {
		PrefillLimiter.Permit permit = acquire("late");
		this.clock.advanceMillis(LATE_MILLIS);
		permit.onFirstToken();
		this.limiter.retainServers((id) -> false);
		this.started.clear();
		acquireInitialLimit();
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT);
	}

	@Test
	public void randomHistoriesStartEveryRequestOnceOrNever() {
		Random random = TestSeed.random(12);
		List<PrefillLimiter.Permit> permits = new ArrayList<>();
		Set<Integer> seen = new HashSet<>();
		for (int request = 0; request < 3_000; request++) {
			int id = request;
			permits.add(this.limiter.acquire("s" + random.nextInt(2), "digest", urgency(random.nextInt(3)),
					TARGET_MILLIS, () -> Assert.assertTrue(seen.add(id), "seed " + TestSeed.value())));
			this.clock.advanceMillis(random.nextInt(300));
			while (random.nextBoolean() && !permits.isEmpty()) {
				PrefillLimiter.Permit permit = permits.remove(random.nextInt(permits.size()));
				if (random.nextBoolean()) {
					permit.onFirstToken();
				}
				permit.release();
			}
		}
		permits.forEach(PrefillLimiter.Permit::release);
		Assert.assertEquals(this.limiter.waitingCount(), 0, "seed " + TestSeed.value());
	}

	@Test
	public void urgentPromptDoesNotWaitWhileLessUrgentOnesAreInPrefill() {
		acquire("less urgent");
		for (int request = 0; request <= INITIAL_LIMIT; request++) {
			acquireUrgent("urgent " + request);
		}
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT + 2);
	}

	@Test
	public void eachLessUrgentPromptMakesRoomForOneMore() {
		acquire("less urgent");
		for (int request = 0; request <= INITIAL_LIMIT + 1; request++) {
			acquireUrgent("urgent " + request);
		}
		Assert.assertEquals(this.limiter.waitingCount(), 1);
	}

	@Test
	public void promptThatWasSentWithoutAPermitMakesRoomToo() {
		acquireInitialLimit();
		PrefillLimiter.Permit late = acquire("late");
		late.bypass();
		late.onSent();
		for (int request = 0; request < 2 * INITIAL_LIMIT + 1; request++) {
			acquireUrgent("urgent " + request);
		}
		Assert.assertEquals(this.limiter.waitingCount(), 0);
		late.onFirstToken();
		acquireUrgent("one too many");
		Assert.assertEquals(this.limiter.waitingCount(), 1);
	}

	@Test
	public void timeBeforeTheSendIsNotHeldAgainstTheServer() {
		for (int round = 0; round < 20; round++) {
			PrefillLimiter.Permit permit = this.limiter.acquire("s1", "digest", urgency(RANK), TARGET_MILLIS, () -> {
			});
			this.clock.advanceMillis(LATE_MILLIS);
			permit.onSent();
			permit.onFirstToken();
		}
		this.started.clear();
		acquireInitialLimit();
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT);
	}

	@Test
	public void urgentPromptsAreLimitedAmongThemselves() {
		for (int request = 0; request <= INITIAL_LIMIT; request++) {
			acquireUrgent("urgent " + request);
		}
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT);
	}

	@Test
	public void lessUrgentPromptDoesNotPassAnUrgentOneThatWaits() {
		List<PrefillLimiter.Permit> urgent = new ArrayList<>();
		for (int request = 0; request <= INITIAL_LIMIT; request++) {
			urgent.add(acquireUrgent("urgent"));
		}
		acquire("less urgent");
		Assert.assertFalse(this.started.contains("less urgent"));
		urgent.get(0).onFirstToken();
		Assert.assertEquals(this.started.subList(INITIAL_LIMIT, this.started.size()), List.of("urgent", "less urgent"));
	}

	@Test
	public void lateUrgentPromptLowersTheLimitOfTheLeastUrgentKind() {
		for (int round = 0; round < 20; round++) {
			PrefillLimiter.Permit urgent = acquireUrgent("urgent");
			PrefillLimiter.Permit lessUrgent = acquire("less urgent");
			this.clock.advanceMillis(LATE_MILLIS);
			urgent.onFirstToken();
			lessUrgent.onFirstToken();
		}
		this.started.clear();
		acquire("one");
		acquire("two");
		Assert.assertEquals(this.started, List.of("one"));
		this.limiter.startWaiting("s1");
		this.started.clear();
		acquireUrgent("urgent one");
		acquireUrgent("urgent two");
		Assert.assertEquals(this.started, List.of("urgent one", "urgent two"));
	}

	@Test
	public void delayOfThisProcessIsNotHeldAgainstTheServer() {
		this.lagMillis = LATE_MILLIS / 2;
		for (int round = 0; round < 20; round++) {
			PrefillLimiter.Permit permit = acquire("late");
			this.clock.advanceMillis(LATE_MILLIS);
			permit.onFirstToken();
		}
		this.started.clear();
		acquireInitialLimit();
		Assert.assertEquals(this.started.size(), INITIAL_LIMIT);
	}

	private PrefillLimiter.Permit acquireUrgent(String name) {
		return acquire(name, "reply", URGENT_RANK);
	}

	private Urgency urgency(int rank) {
		return Urgency.read(rank, this.acquiredCount++);
	}

	private List<PrefillLimiter.Permit> acquireInitialLimit() {
		List<PrefillLimiter.Permit> permits = new ArrayList<>();
		for (int request = 0; request < INITIAL_LIMIT; request++) {
			permits.add(acquire("initial " + request));
		}
		return permits;
	}

	private PrefillLimiter.Permit acquire(String name) {
		return acquire(name, "digest", RANK);
	}

	private PrefillLimiter.Permit acquire(String name, String kind, int rank) {
		PrefillLimiter.Permit permit = this.limiter.acquire("s1", kind, urgency(rank), TARGET_MILLIS,
				() -> this.started.add(name));
		permit.onSent();
		return permit;
	}

}
