package org.marjoramgw.policy.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link PromptPlacement} and {@link LeastLoadedPlacement}.
 *
 * @author The marjoramgw authors
 */
public class PlacementTests {

	private static final double TOKENS_PER_MILLI = 100;

	private static final long CACHED_MILLIS = 20_000;

	private static final int SERVERS = 6;

	private static final PlacementQuery LONG_PROMPT = new PlacementQuery("a", "contract", 20_000);

	private static final PlacementQuery SHORT_PROMPT = new PlacementQuery("a", "greeting", 300);

	private final ManualMillisClock clock = new ManualMillisClock(1_000);

	@Test
	public void longSharedPromptStaysWhereItIsCached() {
		PromptPlacement placement = prompts();
		Set<String> chosen = new HashSet<>();
		for (int request = 0; request < 50; request++) {
			chosen.add(placement.choose(LONG_PROMPT, servers(Map.of())).orElseThrow().id());
		}
		Assert.assertEquals(chosen.size(), 1);
	}

	@Test
	public void longSharedPromptMovesOnceWaitingCostsMoreThanReadingIt() {
		PromptPlacement placement = prompts();
		String home = placement.choose(LONG_PROMPT, servers(Map.of())).orElseThrow().id();
		Assert.assertEquals(choose(placement, LONG_PROMPT, Map.of(home, 190.0)), home);
		String second = choose(placement, LONG_PROMPT, Map.of(home, 250.0));
		Assert.assertNotEquals(second, home);
		Assert.assertEquals(choose(placement, LONG_PROMPT, Map.of(home, 20.0)), second, "cached there by now");
	}

	@Test
	public void forgetsWhereAPartWasSentAfterAWhile() {
		PromptPlacement placement = prompts();
		String home = choose(placement, LONG_PROMPT, Map.of());
		choose(placement, LONG_PROMPT, Map.of(home, 250.0));
		this.clock.advanceMillis(CACHED_MILLIS + 1);
		Assert.assertEquals(choose(placement, LONG_PROMPT, Map.of(home, 20.0)), home);
	}

	@Test
	public void shortPromptGoesWhereTheWaitIsLeast() {
		PromptPlacement placement = prompts();
		Map<String, Double> loads = new HashMap<>();
		for (int server = 0; server < SERVERS; server++) {
			loads.put("s" + server, 50.0 + server);
		}
		loads.put("s4", 1.0);
		Assert.assertEquals(choose(placement, SHORT_PROMPT, loads), "s4");
	}

	@Test
	public void anotherSenderExpectsAPromptAtTheSameServer() {
		Assert.assertEquals(choose(prompts(), LONG_PROMPT, Map.of()), choose(prompts(), LONG_PROMPT, Map.of()));
	}

	@Test
	public void suspectServersAreLeftOutUnlessAllAre() {
		ServerView sound = new ServerView("sound", "b", 9, false);
		ServerView suspect = new ServerView("suspect", "a", 0, true);
		for (Placement placement : List.of(prompts(), new LeastLoadedPlacement(TestSeed.random(1)))) {
			Assert.assertEquals(placement.choose(LONG_PROMPT, List.of(suspect, sound)), Optional.of(sound));
			Assert.assertEquals(placement.choose(LONG_PROMPT, List.of(suspect)), Optional.of(suspect));
			Assert.assertEquals(placement.choose(LONG_PROMPT, List.of()), Optional.empty());
		}
	}

	@Test
	public void plainRequestsGoToTheLeastLoadedOfTheOwnDomainFirst() {
		Random random = TestSeed.random(2);
		LeastLoadedPlacement placement = new LeastLoadedPlacement(random);
		for (int step = 0; step < 1_000; step++) {
			List<ServerView> servers = new ArrayList<>();
			for (int server = 0; server < 1 + random.nextInt(SERVERS); server++) {
				servers.add(new ServerView("s" + server, random.nextBoolean() ? "a" : "b", random.nextInt(3), false));
			}
			ServerView chosen = placement.choose(LONG_PROMPT, servers).orElseThrow();
			for (ServerView other : servers) {
				boolean better = other.load() < chosen.load() || other.load() == chosen.load()
						&& other.failureDomain().equals("a") && chosen.failureDomain().equals("b");
				Assert.assertFalse(better, "seed " + TestSeed.value() + ": " + servers + " chose " + chosen);
			}
		}
	}

	private PromptPlacement prompts() {
		return new PromptPlacement(this.clock, TOKENS_PER_MILLI, CACHED_MILLIS);
	}

	private static String choose(Placement placement, PlacementQuery query, Map<String, Double> loads) {
		return placement.choose(query, servers(loads)).orElseThrow().id();
	}

	private static List<ServerView> servers(Map<String, Double> loads) {
		List<ServerView> servers = new ArrayList<>();
		for (int server = 0; server < SERVERS; server++) {
			servers.add(new ServerView("s" + server, "a", loads.getOrDefault("s" + server, 0.0), false));
		}
		return servers;
	}

}
