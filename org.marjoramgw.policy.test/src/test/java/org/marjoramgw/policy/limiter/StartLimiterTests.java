package org.marjoramgw.policy.limiter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link StartLimiter}.
 *
 * @author The marjoramgw authors
 */
public class StartLimiterTests {

	private final List<String> started = new ArrayList<>();

	@Test
	public void startsByRankThenInOrderOfArrival() {
		List<String> order = new ArrayList<>();
		StartLimiter gate = new StartLimiter(1, Runnable::run);
		StartLimiter.Permit first = gate.acquire(2, () -> order.add("first"));
		Map<String, StartLimiter.Permit> places = new HashMap<>();
		for (String name : List.of("2a", "0a", "1a", "0b")) {
			places.put(name, gate.acquire(name.charAt(0) - '0', () -> order.add(name)));
		}
		first.release();
		for (String name : List.of("0a", "0b", "1a", "2a")) {
			Assert.assertEquals(order.get(order.size() - 1), name);
			places.get(name).release();
		}
		Assert.assertEquals(gate.waitingCount(), 0);
	}

	@Test
	public void requestGivenUpWhileItWaitsNeverStarts() {
		StartLimiter gate = new StartLimiter(1, Runnable::run);
		StartLimiter.Permit first = gate.acquire(0, () -> this.started.add("first"));
		gate.acquire(0, () -> this.started.add("given up")).release();
		first.release();
		first.release();
		gate.acquire(0, () -> this.started.add("next"));
		Assert.assertEquals(this.started, List.of("first", "next"));
	}

	@Test
	public void neverLetsMoreStartThanItMay() {
		Random random = TestSeed.random(6);
		int[] inside = { 0 };
		StartLimiter gate = new StartLimiter(3, Runnable::run);
		List<StartLimiter.Permit> places = new ArrayList<>();
		for (int step = 0; step < 5_000; step++) {
			if (random.nextInt(2) == 0) {
				places.add(gate.acquire(random.nextInt(3), () -> inside[0]++));
			}
			else if (!places.isEmpty()) {
				places.remove(random.nextInt(places.size())).release();
			}
			Assert.assertTrue(places.size() - gate.waitingCount() <= 3, "seed " + TestSeed.value() + " step " + step);
		}
		Assert.assertTrue(inside[0] > 0);
	}

}
