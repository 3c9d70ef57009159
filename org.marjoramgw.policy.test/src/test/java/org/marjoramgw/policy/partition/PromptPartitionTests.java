package org.marjoramgw.policy.partition;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.marjoramgw.ManualMillisClock;
import org.marjoramgw.policy.placement.LeastLoadedPlacement;
import org.marjoramgw.policy.placement.PlacementQuery;
import org.marjoramgw.policy.placement.ServerView;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link PromptPartition}, and plays short urgent streams beside long prompts
 * against a model of engines to check what callers get.
 *
 * @author The marjoramgw authors
 */
public class PromptPartitionTests {

	private static final String SERVICE = "s";

	private static final int SERVER_COUNT = 8;

	private static final long TICK_MILLIS = 5;

	private static final long WARM_UP_MILLIS = 8_000;

	private static final long PLAY_MILLIS = 40_000;

	private static final PrefillServer.StreamKind PLAN = new PrefillServer.StreamKind("plan", 2, 10, 9_000, 90, 2_500,
			500);

	private static final PrefillServer.StreamKind CHAT = new PrefillServer.StreamKind("chat", 0, 20, 800, 70, 250, 120);

	private static final PrefillServer.StreamKind NOTE = new PrefillServer.StreamKind("note", 1, 17, 2_000, 6, 400,
			200);

	private final ManualMillisClock clock = new ManualMillisClock(0);

	@Test
	public void urgentStreamsAreInTimeBesideLongPrompts() {
		Map<String, Double> together = play(false, List.of(PLAN, CHAT, NOTE));
		Map<String, Double> divided = play(true, List.of(PLAN, CHAT, NOTE));
		Assert.assertTrue(together.get("chat") < 0.7, "without a partition: " + together);
		Assert.assertTrue(divided.get("chat") > 0.95, "with a partition: " + divided);
		Assert.assertTrue(divided.get("note") > 0.9, "with a partition: " + divided);
		Assert.assertTrue(divided.get("plan") > 0.9, "with a partition: " + divided);
	}

	@Test
	public void serversAreNotDividedWhilePausesAreInTime() {
		PromptPartition partition = new PromptPartition(this.clock);
		feed(partition, 200, 0);
		Assert.assertEquals(partition.select(SERVICE, "chat", servers(8)), servers(8));
	}

	@Test
	public void fewLatePausesAmongManyStreamsDivideNothing() {
		PromptPartition partition = new PromptPartition(this.clock);
		feed(partition, 2_000, 50);
		Assert.assertEquals(partition.select(SERVICE, "chat", servers(8)), servers(8));
	}

	@Test
	public void partsAreDisjointAndFollowTheWork() {
		PromptPartition partition = new PromptPartition(this.clock);
		feed(partition, 200, 5);
		Set<String> longPart = ids(partition, "plan", 8);
		Set<String> shortPart = ids(partition, "chat", 8);
		Assert.assertEquals(longPart.size() + shortPart.size(), 8);
		Assert.assertTrue(
				new HashSet<>(longPart).removeAll(shortPart) || longPart.stream().noneMatch(shortPart::contains));
		for (int burst = 0; burst < 400; burst++) {
			partition.onRequest(SERVICE, "plan", 9_000, 500);
		}
		this.clock.advanceMillis(300);
		Assert.assertTrue(ids(partition, "plan", 8).size() > longPart.size(), "more work, more servers");
		Assert.assertTrue(ids(partition, "plan", 8).containsAll(longPart), "only the boundary moves");
	}

	@Test
	public void lossOfServersMovesOnlyTheBoundary() {
		PromptPartition partition = new PromptPartition(this.clock);
		feed(partition, 200, 5);
		Set<String> before = ids(partition, "plan", 8);
		Set<String> after = ids(partition, "plan", 7);
		before.remove("i-7");
		Set<String> moved = new HashSet<>(after);
		moved.removeAll(before);
		Assert.assertTrue(moved.size() <= 1, before + " " + after);
		Assert.assertEquals(ids(partition, "plan", 1), ids(partition, "chat", 1), "one server serves all kinds");
	}

	@Test
	public void partThatFailedAltogetherIsNotInsistedOn() {
		PromptPartition partition = new PromptPartition(this.clock);
		feed(partition, 200, 5);
		Set<String> longPart = ids(partition, "plan", 8);
		List<ServerView> suspects = servers(8).stream()
			.map((server) -> new ServerView(server.id(), "a", 0, longPart.contains(server.id())))
			.toList();
		Assert.assertEquals(partition.select(SERVICE, "plan", suspects).size(), 8);
	}

	private void feed(PromptPartition partition, int requestCount, int everyNthIsLate) {
		for (int request = 0; request < requestCount; request++) {
			partition.onRequest(SERVICE, "chat", 800, 120);
			partition.onStream(SERVICE, "chat");
			if (everyNthIsLate > 0 && request % everyNthIsLate == 0) {
				partition.onLatePause(SERVICE, "chat");
			}
			partition.onEnd(SERVICE, "chat");
			if (request % 2 == 0) {
				partition.onRequest(SERVICE, "plan", 9_000, 500);
				partition.onStream(SERVICE, "plan");
				partition.onEnd(SERVICE, "plan");
			}
			this.clock.advanceMillis(50);
		}
	}

	private Map<String, Double> play(boolean divide, List<PrefillServer.StreamKind> kinds) {
		Random random = TestSeed.random(21);
		LeastLoadedPlacement placement = new LeastLoadedPlacement(random);
		PromptPartition partition = new PromptPartition(this.clock);
		List<PrefillServer> servers = new ArrayList<>();
		for (int server = 0; server < SERVER_COUNT; server++) {
			servers.add(new PrefillServer());
		}
		Map<String, Integer> ended = new HashMap<>();
		Map<String, Integer> inTime = new HashMap<>();
		for (long now = 0; now < PLAY_MILLIS; now += TICK_MILLIS) {
			for (PrefillServer.StreamKind kind : kinds) {
				if (random.nextDouble() < kind.perSecond() * TICK_MILLIS / 1_000) {
					partition.onRequest(SERVICE, kind.name(), kind.promptTokens(), kind.maxPauseMillis());
					List<ServerView> views = views(servers);
					List<ServerView> part = divide ? partition.select(SERVICE, kind.name(), views) : views;
					String id = placement.choose(PlacementQuery.of("", "a"), part).orElseThrow().id();
					servers.get(Integer.parseInt(id)).add(new PrefillServer.Stream(kind, now));
				}
			}
			for (PrefillServer server : servers) {
				for (PrefillServer.Stream stream : server.runUntil(now + TICK_MILLIS)) {
					String kind = stream.kind().name();
					partition.onStream(SERVICE, kind);
					if (stream.pauseWasLate()) {
						partition.onLatePause(SERVICE, kind);
					}
					partition.onEnd(SERVICE, kind);
					if (stream.arrivedMillis() > WARM_UP_MILLIS) {
						ended.merge(kind, 1, Integer::sum);
						inTime.merge(kind, stream.isInTime() ? 1 : 0, Integer::sum);
					}
				}
			}
			this.clock.advanceMillis(TICK_MILLIS);
		}
		Map<String, Double> shares = new HashMap<>();
		ended.forEach((kind, count) -> shares.put(kind, inTime.get(kind) / (double) count));
		return shares;
	}

	private static List<ServerView> views(List<PrefillServer> servers) {
		List<ServerView> views = new ArrayList<>();
		for (int server = 0; server < servers.size(); server++) {
			views.add(new ServerView(Integer.toString(server), "a", servers.get(server).load(), false));
		}
		return views;
	}

	private static List<ServerView> servers(int count) {
		List<ServerView> servers = new ArrayList<>();
		for (int server = 0; server < count; server++) {
			servers.add(new ServerView("i-" + server, "a", 0, false));
		}
		return servers;
	}

	private static Set<String> ids(PromptPartition partition, String kind, int count) {
		Set<String> ids = new HashSet<>();
		partition.select(SERVICE, kind, servers(count)).forEach((server) -> ids.add(server.id()));
		return ids;
	}

}
