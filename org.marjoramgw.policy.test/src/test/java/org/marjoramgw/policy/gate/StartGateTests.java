package org.marjoramgw.policy.gate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link StartGate}.
 *
 * @author The marjoramgw authors
 */
public class StartGateTests {

	private final List<String> started = new ArrayList<>();

	@Test
	public void startsByRankThenInOrderOfArrival() {
		List<String> order = new ArrayList<>();
		StartGate gate = new StartGate(1, Runnable::run);
		StartGate.Place first = gate.enter(2, () -> order.add("first"));
		Map<String, StartGate.Place> places = new HashMap<>();
		for (String name : List.of("2a", "0a", "1a", "0b")) {
			places.put(name, gate.enter(name.charAt(0) - '0', () -> order.add(name)));
		}
		first.leave();
		for (String name : List.of("0a", "0b", "1a", "2a")) {
			Assert.assertEquals(order.get(order.size() - 1), name);
			places.get(name).leave();
		}
		Assert.assertEquals(gate.waitingCount(), 0);
	}

	@Test
	public void requestGivenUpWhileItWaitsNeverStarts() {
		StartGate gate = new StartGate(1, Runnable::run);
		StartGate.Place first = gate.enter(0, () -> this.started.add("first"));
		gate.enter(0, () -> this.started.add("given up")).leave();
		first.leave();
		first.leave();
		gate.enter(0, () -> this.started.add("next"));
		Assert.assertEquals(this.started, List.of("first", "next"));
	}

	@Test
	public void neverLetsMoreStartThanItMay() {
		Random random = TestSeed.random(6);
		int[] inside = { 0 };
		StartGate gate = new StartGate(3, Runnable::run);
		List<StartGate.Place> places = new ArrayList<>();
		for (int step = 0; step < 5_000; step++) {
			if (random.nextInt(2) == 0) {
				places.add(gate.enter(random.nextInt(3), () -> inside[0]++));
			}
			else if (!places.isEmpty()) {
				places.remove(random.nextInt(places.size())).leave();
			}
			Assert.assertTrue(places.size() - gate.waitingCount() <= 3, "seed " + TestSeed.value() + " step " + step);
		}
		Assert.assertTrue(inside[0] > 0);
	}

}
