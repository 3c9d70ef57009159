package org.marjoramgw.policy.slot;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that every class keeps its floor of slot-time while all classes have work.
 *
 * @author The marjoramgw authors
 */
public class ClassFloorTests {

	private static final long WINDOW_MILLIS = 60_000;

	private static final int WINDOWS = 5;

	private static final int BOTTOM_TIER = 4;

	private static final long STEP_MILLIS = 20;

	private static final long LOW_LOAD_MILLIS = 20_000;

	private static final long BURST_WINDOW_MILLIS = 5_000;

	private static final int ANSWER_MILLIS = 1_000;

	private static final double PERCENT = 100.0;

	@DataProvider
	public Object[][] bursts() {
		return new Object[][] { { "equal lengths", 2_000, 2_000, false },
				{ "long answers at the bottom", 1_000, 9_000, false },
				{ "short answers at the bottom", 4_000, 500, false },
				{ "the bottom alone in the first window", 2_000, 500, true } };
	}

	@Test(dataProvider = "bursts")
	public void servesEachClassInEachWindow(String name, int topMillis, int bottomMillis, boolean bottomFirst) {
		Map<String, RequestClass> classes = TestConfiguration.of("tiers").classes();
		SlotScheduler scheduler = new SlotScheduler(true, 1, 0);
		scheduler.configure(TestConfiguration.of("tiers"));
		Random random = TestSeed.random(1);
		TreeMap<Long, RequestKey> ends = new TreeMap<>();
		Map<String, Long> before = new HashMap<>();
		int id = 0;
		for (long now = 0; now <= WINDOWS * WINDOW_MILLIS; now += STEP_MILLIS) {
			while (!ends.isEmpty() && ends.firstKey() <= now) {
				scheduler.free(ends.pollFirstEntry().getValue(), now);
			}
			boolean alone = bottomFirst && now <= WINDOW_MILLIS;
			for (RequestClass each : classes.values()) {
				while (!(alone && each.tier() < BOTTOM_TIER)
						&& scheduler.queues().size(each.name()) < each.queueBound() / 2) {
					RequestKey key = new RequestKey("entry", 1, each.name() + id++, 1);
					scheduler.offer(new WaitingRequest(key, each.name(), each.tier(), "large", now, Long.MAX_VALUE / 2,
							Long.MAX_VALUE / 2, false), now);
				}
			}
			Optional<WaitingRequest> next = scheduler.grantNext(now);
			while (next.isPresent()) {
				int meanMillis = (next.get().tier() == 1) ? topMillis : bottomMillis;
				long end = now + meanMillis / 2 + random.nextInt(meanMillis);
				while (ends.putIfAbsent(end, next.get().key()) != null) {
					end++;
				}
				next = scheduler.grantNext(now);
			}
			if (now > 0 && now % WINDOW_MILLIS == 0) {
				Map<String, RequestClass> checked = alone ? Map.of() : classes;
				Map<String, Long> used = usedSince(before, classes, scheduler, now);
				checkWindow(name + " at " + now + " seed " + TestSeed.value(), checked, used);
			}
		}
	}

	@Test
	public void usageBeforeABurstDoesNotCountAgainstAClass() {
		Map<String, RequestClass> classes = TestConfiguration.of("tiers").classes();
		RequestClass top = tierOf(classes, 1);
		RequestClass bottom = tierOf(classes, BOTTOM_TIER);
		SlotScheduler scheduler = new SlotScheduler(true, 1, 0);
		scheduler.configure(TestConfiguration.of("tiers"));
		TreeMap<Long, RequestKey> ends = new TreeMap<>();
		Map<String, Long> before = new HashMap<>();
		int id = 0;
		for (long now = 0; now <= LOW_LOAD_MILLIS + BURST_WINDOW_MILLIS; now += STEP_MILLIS) {
			while (!ends.isEmpty() && ends.firstKey() <= now) {
				scheduler.free(ends.pollFirstEntry().getValue(), now);
			}
			boolean burst = now >= LOW_LOAD_MILLIS;
			if (now == LOW_LOAD_MILLIS) {
				usedSince(before, classes, scheduler, now);
			}
			for (RequestClass each : burst ? List.of(top, bottom) : List.of(bottom)) {
				int wanted = burst ? each.queueBound() / 2 : 1;
				while (scheduler.queues().size(each.name()) < wanted && (burst || ends.size() < 2)) {
					RequestKey key = new RequestKey("entry", 1, each.name() + id++, 1);
					scheduler.offer(new WaitingRequest(key, each.name(), each.tier(), "large", now, Long.MAX_VALUE / 2,
							Long.MAX_VALUE / 2, false), now);
				}
			}
			Optional<WaitingRequest> next = scheduler.grantNext(now);
			while (next.isPresent()) {
				long end = now + ANSWER_MILLIS;
				while (ends.putIfAbsent(end, next.get().key()) != null) {
					end++;
				}
				next = scheduler.grantNext(now);
			}
		}
		long nowMillis = LOW_LOAD_MILLIS + BURST_WINDOW_MILLIS;
		checkWindow("first window of the burst", Map.of(bottom.name(), bottom),
				usedSince(before, classes, scheduler, nowMillis));
	}

	private static RequestClass tierOf(Map<String, RequestClass> classes, int tier) {
		return classes.values().stream().filter((each) -> each.tier() == tier).findFirst().orElseThrow();
	}

	private static Map<String, Long> usedSince(Map<String, Long> before, Map<String, RequestClass> classes,
			SlotScheduler scheduler, long nowMillis) {
		Map<String, Long> used = new HashMap<>();
		for (String name : classes.keySet()) {
			long all = scheduler.usedSlotMillis(name, nowMillis);
			used.put(name, all - before.getOrDefault(name, 0L));
			before.put(name, all);
		}
		return used;
	}

	private static void checkWindow(String context, Map<String, RequestClass> classes, Map<String, Long> used) {
		long total = used.values().stream().mapToLong(Long::longValue).sum();
		classes.forEach((name, requestClass) -> {
			double percent = used.get(name) * PERCENT / total;
			Assert.assertTrue(percent >= requestClass.floorPercent(),
					context + ": " + name + " got " + percent + "% of slot-time");
		});
	}

}
