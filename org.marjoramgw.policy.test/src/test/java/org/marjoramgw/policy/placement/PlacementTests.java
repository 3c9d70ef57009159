package org.marjoramgw.policy.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link AffinityPlacement} and {@link LeastLoadedPlacement}.
 *
 * @author The marjoramgw authors
 */
public class PlacementTests {

	private static final double SLACK = 4;

	private static final int SERVERS = 6;

	private final Placement leastLoaded = new LeastLoadedPlacement(TestSeed.random(1));

	private final Placement affinity = new AffinityPlacement(SLACK, this.leastLoaded);

	@Test
	public void sharedPromptStaysOnItsServerWithinTheLoadBound() {
		Set<String> chosen = new HashSet<>();
		for (int load = 0; load <= SLACK; load++) {
			chosen.add(choose("contract", Map.of("s0", (double) load)));
		}
		Assert.assertEquals(chosen.size(), 1);
		String preferred = choose("contract", Map.of());
		Assert.assertEquals(choose("contract", Map.of(preferred, SLACK)), preferred);
	}

	@Test
	public void overloadMovesAPromptToTheSameNextServer() {
		String preferred = choose("contract", Map.of());
		String next = choose("contract", Map.of(preferred, SLACK * 3));
		Assert.assertNotEquals(next, preferred);
		Assert.assertEquals(choose("contract", Map.of(preferred, SLACK * 5)), next);
	}

	@Test
	public void hotPromptSpreadsSoThatNoServerExceedsTheLoadBound() {
		Map<String, Double> loads = new HashMap<>();
		for (int request = 1; request <= 600; request++) {
			loads.merge(choose("hot", loads), 1.0, Double::sum);
			double bound = 1.5 * request / SERVERS + SLACK + 1;
			for (double load : loads.values()) {
				Assert.assertTrue(load <= bound, loads.toString());
			}
		}
	}

	@Test
	public void manyPromptsSpreadOverAllServers() {
		Map<String, Integer> counts = new HashMap<>();
		for (int prompt = 0; prompt < 1_200; prompt++) {
			counts.merge(choose("prompt-" + prompt, Map.of()), 1, Integer::sum);
		}
		Assert.assertEquals(counts.size(), SERVERS);
		counts.values().forEach((count) -> Assert.assertTrue(count > 120, counts.toString()));
	}

	@Test
	public void lossOfAServerMovesOnlyItsPrompts() {
		for (int prompt = 0; prompt < 200; prompt++) {
			String key = "prompt-" + prompt;
			String before = choose(key, Map.of());
			List<ServerView> rest = servers(Map.of());
			rest.remove(0);
			String after = this.affinity.choose(PlacementQuery.of(key, "a"), rest).orElseThrow().id();
			Assert.assertTrue(after.equals(before) || before.equals("s0"), key);
		}
	}

	@Test
	public void excludesSuspectServersUnlessAllAreSuspect() {
		ServerView healthy = new ServerView("healthy", "b", 9, false);
		ServerView suspect = new ServerView("suspect", "a", 0, true);
		for (Placement placement : List.of(this.affinity, this.leastLoaded)) {
			for (String key : List.of("", "contract")) {
				Assert.assertEquals(placement.choose(PlacementQuery.of(key, "a"), List.of(suspect, healthy)),
						Optional.of(healthy));
				Assert.assertEquals(placement.choose(PlacementQuery.of(key, "a"), List.of(suspect)),
						Optional.of(suspect));
				Assert.assertEquals(placement.choose(PlacementQuery.of(key, "a"), List.of()), Optional.empty());
			}
		}
	}

	@Test
	public void requestsWithoutAKeyGoToTheLeastLoadedServerOwnDomainFirst() {
		Random random = TestSeed.random(2);
		for (int step = 0; step < 1_000; step++) {
			List<ServerView> servers = new ArrayList<>();
			for (int server = 0; server < 1 + random.nextInt(SERVERS); server++) {
				servers.add(new ServerView("s" + server, random.nextBoolean() ? "a" : "b", random.nextInt(3), false));
			}
			ServerView chosen = this.leastLoaded.choose(PlacementQuery.of("", "a"), servers).orElseThrow();
			for (ServerView other : servers) {
				boolean better = other.load() < chosen.load() || other.load() == chosen.load()
						&& other.failureDomain().equals("a") && chosen.failureDomain().equals("b");
				Assert.assertFalse(better, "seed " + TestSeed.value() + ": " + servers + " chose " + chosen);
			}
		}
	}

	private String choose(String key, Map<String, Double> loads) {
		return this.affinity.choose(PlacementQuery.of(key, "a"), servers(loads)).orElseThrow().id();
	}

	private static List<ServerView> servers(Map<String, Double> loads) {
		List<ServerView> servers = new ArrayList<>();
		for (int server = 0; server < SERVERS; server++) {
			servers.add(new ServerView("s" + server, "a", loads.getOrDefault("s" + server, 0.0), false));
		}
		return servers;
	}

}
