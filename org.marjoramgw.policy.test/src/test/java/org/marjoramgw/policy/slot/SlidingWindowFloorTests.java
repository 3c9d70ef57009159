package org.marjoramgw.policy.slot;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.Limits;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the lowest class gets its floor of slot-time in any window of 5 s during a
 * burst of the top class, for answers that take from a small to a large part of that
 * window.
 *
 * @author The marjoramgw authors
 */
public class SlidingWindowFloorTests {

	private static final long WINDOW_MILLIS = 5_000;

	private static final long BURST_MILLIS = 60_000;

	private static final long STEP_MILLIS = 10;

	private static final int FLOOR_PERCENT = 10;

	private static final int SLOT_COUNT = 4;

	private static final int QUEUE_BOUND = 20;

	private static final double PERCENT = 100.0;

	/** Answers are longer than their base time by up to that time over this divisor. */
	private static final int SPREAD_DIVISOR = 20;

	private static final RequestClass TOP = requestClass("reply", 1, 30);

	private static final RequestClass LOWEST = requestClass("summary", 4, FLOOR_PERCENT);

	@DataProvider
	public Object[][] answerMillis() {
		return new Object[][] { { 300 }, { 700 }, { 1_000 }, { 1_500 }, { 1_950 }, { 2_500 }, { 4_000 } };
	}

	@Test(dataProvider = "answerMillis")
	public void keepsTheFloorOfTheLowestClassInAnyWindow(int answerMillis) {
		List<Long> all = new ArrayList<>();
		List<Long> lowest = new ArrayList<>();
		runBurst(answerMillis, all, lowest);
		int window = (int) (WINDOW_MILLIS / STEP_MILLIS);
		for (int end = 2 * window; end < all.size(); end++) {
			long used = lowest.get(end) - lowest.get(end - window);
			long total = all.get(end) - all.get(end - window);
			Assert.assertTrue(used >= total * FLOOR_PERCENT / PERCENT,
					used + " of " + total + " ms before " + end * STEP_MILLIS + " ms, seed " + TestSeed.value());
		}
	}

	/**
	 * Simulates a burst and records the slot-time used until each step, by all classes
	 * and by the lowest class.
	 */
	private static void runBurst(int answerMillis, List<Long> all, List<Long> lowest) {
		SlotScheduler scheduler = new SlotScheduler(true, 1, 0);
		scheduler.configure(configuration());
		Random random = TestSeed.random(answerMillis);
		TreeMap<Long, RequestKey> ends = new TreeMap<>();
		int id = 0;
		for (long now = 0; now <= BURST_MILLIS; now += STEP_MILLIS) {
			while (!ends.isEmpty() && ends.firstKey() <= now) {
				scheduler.free(ends.pollFirstEntry().getValue(), now);
			}
			for (RequestClass each : List.of(TOP, LOWEST)) {
				while (scheduler.queues().size(each.name()) < QUEUE_BOUND / 2) {
					offer(scheduler, each, id++, now);
				}
			}
			Optional<WaitingRequest> next = scheduler.grantNext(now);
			while (next.isPresent()) {
				long end = now + answerMillis + random.nextInt(answerMillis / SPREAD_DIVISOR);
				while (ends.putIfAbsent(end, next.get().key()) != null) {
					end++;
				}
				next = scheduler.grantNext(now);
			}
			lowest.add(scheduler.usedSlotMillis(LOWEST.name(), now));
			all.add(scheduler.usedSlotMillis(LOWEST.name(), now) + scheduler.usedSlotMillis(TOP.name(), now));
		}
	}

	private static void offer(SlotScheduler scheduler, RequestClass requestClass, int id, long nowMillis) {
		RequestKey key = new RequestKey("entry", 1, requestClass.name() + id, 1);
		long farMillis = Long.MAX_VALUE / 2;
		scheduler.offer(new WaitingRequest(key, requestClass.name(), requestClass.tier(), "buyer", nowMillis, farMillis,
				farMillis, false), nowMillis);
	}

	private static Configuration configuration() {
		Map<String, RequestClass> classes = new LinkedHashMap<>();
		classes.put(TOP.name(), TOP);
		classes.put(LOWEST.name(), LOWEST);
		Map<String, ClientAccount> accounts = Map.of("buyer", new ClientAccount("buyer", "", 1));
		Limits limits = new Limits(1_024, "late-binding", 2, 100, "tiers", SLOT_COUNT, SLOT_COUNT, SLOT_COUNT, 1, true,
				10, 24);
		return new Configuration(1, Map.of(), classes, accounts, List.of(), limits);
	}

	private static RequestClass requestClass(String name, int tier, int floorPercent) {
		return new RequestClass(name, tier, 500, 50, 10_000, floorPercent, QUEUE_BOUND);
	}

}
