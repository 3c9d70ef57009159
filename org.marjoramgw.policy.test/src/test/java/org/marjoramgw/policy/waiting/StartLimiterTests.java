package org.marjoramgw.policy.waiting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link StartLimiter}.
 *
 * @author The marjoramgw authors
 */
public class StartLimiterTests {

	private final List<String> started = new ArrayList<>();

	private long nowMillis;

	@BeforeMethod
	public void clear() {
		this.started.clear();
	}

	@Test
	public void startsByRankAndWithinARankTheNewestFirst() {
		List<String> order = new ArrayList<>();
		StartLimiter limiter = new StartLimiter(1, Runnable::run);
		StartLimiter.Permit first = limiter.acquire(urgency(2), () -> order.add("first"));
		Map<String, StartLimiter.Permit> permits = new HashMap<>();
		for (String name : List.of("2a", "0a", "1a", "0b")) {
			permits.put(name, limiter.acquire(urgency(name.charAt(0) - '0'), () -> order.add(name)));
		}
		first.release();
		for (String name : List.of("0b", "0a", "1a", "2a")) {
			Assert.assertEquals(order.get(order.size() - 1), name);
			permits.get(name).release();
		}
		Assert.assertEquals(limiter.waitingCount(), 0);
	}

	@Test
	public void allUnreadRequestsStartOnceTheLimitIsLiftedForThem() {
		List<String> order = new ArrayList<>();
		StartLimiter limiter = new StartLimiter(1, Runnable::run);
		StartLimiter.Permit first = limiter.acquire(urgency(0), () -> order.add("first"));
		StartLimiter.Permit read = limiter.acquire(urgency(0), () -> order.add("read"));
		StartLimiter.Permit waiting = limiter.enqueue(Urgency.unread(1, 0), () -> order.add("waiting"));
		limiter.liftForUnread();
		Assert.assertEquals(order, List.of("first", "waiting"));
		StartLimiter.Permit later = limiter.enqueue(Urgency.unread(0, 0), () -> order.add("later"));
		first.release();
		waiting.release();
		Assert.assertEquals(order, List.of("first", "waiting", "later"));
		later.release();
		Assert.assertEquals(order, List.of("first", "waiting", "later", "read"));
		read.release();
		Assert.assertEquals(limiter.waitingCount(), 0);
	}

	@Test
	public void abandonedWaitingRequestNeverStarts() {
		StartLimiter limiter = new StartLimiter(1, Runnable::run);
		StartLimiter.Permit first = limiter.acquire(urgency(0), () -> this.started.add("first"));
		limiter.acquire(urgency(0), () -> this.started.add("abandoned")).release();
		first.release();
		first.release();
		limiter.acquire(urgency(0), () -> this.started.add("next"));
		Assert.assertEquals(this.started, List.of("first", "next"));
	}

	@Test
	public void withdrawnRequestNeverStarts() {
		StartLimiter limiter = new StartLimiter(1, Runnable::run);
		StartLimiter.Permit first = limiter.acquire(urgency(0), () -> this.started.add("first"));
		StartLimiter.Permit second = limiter.acquire(urgency(0), () -> this.started.add("withdrawn"));
		Assert.assertFalse(first.withdraw(), "it has started");
		Assert.assertTrue(second.withdraw());
		Assert.assertFalse(second.withdraw(), "it no longer waits");
		first.release();
		second.release();
		Assert.assertEquals(this.started, List.of("first"));
		Assert.assertTrue(limiter.tryAcquire().isPresent(), "nothing is starting");
	}

	@Test
	public void permitWithoutWaitingIsRefusedAtTheLimit() {
		StartLimiter limiter = new StartLimiter(1, Runnable::run);
		StartLimiter.Permit first = limiter.tryAcquire().get();
		Assert.assertTrue(limiter.tryAcquire().isEmpty());
		limiter.acquire(urgency(0), () -> this.started.add("next"));
		Assert.assertEquals(this.started, List.of());
		first.release();
		Assert.assertEquals(this.started, List.of("next"));
	}

	@Test
	public void neverExceedsTheLimit() {
		Random random = TestSeed.random(6);
		int[] startedCount = { 0 };
		StartLimiter limiter = new StartLimiter(3, Runnable::run);
		List<StartLimiter.Permit> permits = new ArrayList<>();
		for (int step = 0; step < 5_000; step++) {
			if (random.nextInt(2) == 0) {
				permits.add(limiter.acquire(urgency(random.nextInt(3)), () -> startedCount[0]++));
			}
			else if (!permits.isEmpty()) {
				permits.remove(random.nextInt(permits.size())).release();
			}
			Assert.assertTrue(permits.size() - limiter.waitingCount() <= 3,
					"seed " + TestSeed.value() + " step " + step);
		}
		Assert.assertTrue(startedCount[0] > 0);
	}

	@Test
	public void theNewestOfARankGoesFirstInWhateverOrderTheyCome() {
		StartLimiter limiter = new StartLimiter(1, Runnable::run);
		StartLimiter.Permit first = limiter.acquire(Urgency.read(1, 0), () -> this.started.add("first"));
		limiter.acquire(Urgency.read(1, 20), () -> this.started.add("newest"));
		limiter.acquire(Urgency.read(1, 10), () -> this.started.add("comes back"));
		first.release();
		Assert.assertEquals(this.started, List.of("first", "newest"));
	}

	@Test
	public void nothingStartsWhileTheLimiterIsHeld() {
		StartLimiter limiter = new StartLimiter(2, Runnable::run);
		Runnable open = limiter.hold();
		limiter.acquire(urgency(2), () -> this.started.add("ordinary"));
		limiter.acquire(urgency(2), () -> this.started.add("ordinary"));
		limiter.acquire(urgency(1), () -> this.started.add("urgent"));
		Assert.assertTrue(limiter.tryAcquire().isEmpty());
		Assert.assertEquals(this.started, List.of());
		open.run();
		Assert.assertEquals(this.started, List.of("urgent", "ordinary"));
		Assert.assertEquals(limiter.waitingCount(), 1);
	}

	@Test
	public void startThatFailsAtOnceKeepsNoPermit() {
		StartLimiter limiter = new StartLimiter(1, Runnable::run);
		Assert.expectThrows(IllegalStateException.class, () -> limiter.acquire(urgency(0), () -> {
			throw new IllegalStateException("failure of the test");
		}));
		limiter.enqueue(urgency(0), () -> this.started.add("next"));
		Assert.assertEquals(this.started, List.of("next"));
	}

	private Urgency urgency(int rank) {
		return Urgency.read(rank, this.nowMillis++);
	}

}
