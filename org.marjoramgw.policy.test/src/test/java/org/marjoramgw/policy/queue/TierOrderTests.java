package org.marjoramgw.policy.queue;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.marjoramgw.policy.share.AccountUsage;
import org.marjoramgw.policy.share.ClassFloors;
import org.marjoramgw.policy.share.SlotForecast;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link TierOrder} by tables.
 *
 * @author The marjoramgw authors
 */
public class TierOrderTests {

	private static final long NOW_MILLIS = 100_000;

	private static final int SLOT_LIMIT = 8;

	private static final SlotForecast SLOTS = new SlotForecast(SLOT_LIMIT, 0);

	private static final int HEADROOM = 1;

	@DataProvider
	public Object[][] cases() {
		WaitingRequest fast = waiting("fast", "reply", 1, "a", 500, false);
		WaitingRequest fastLater = waiting("fastLater", "reply", 1, "a", 900, false);
		WaitingRequest fastOfOther = waiting("fastOfOther", "reply", 1, "b", 950, false);
		WaitingRequest middle = waiting("middle", "draft", 3, "a", 100, false);
		WaitingRequest slow = waiting("slow", "summary", 4, "a", 10, false);
		WaitingRequest resumed = waiting("resumed", "summary", 4, "a", 5_000, true);
		return new Object[][] { { "nothing waits", List.of(), 4, null },
				{ "the higher tier goes first", List.of(slow, middle, fast), 4, "fast" },
				{ "the earlier start goes first", List.of(fastLater, fast), 4, "fast" },
				{ "the account with less usage goes first", List.of(fast, fastOfOther), 4, "fastOfOther" },
				{ "a preempted request goes first in its tier", List.of(slow, resumed), 4, "resumed" },
				{ "a preempted request doesn't pass a higher tier", List.of(resumed, middle), 4, "middle" },
				{ "the last slot is kept for the top tier", List.of(slow, middle), HEADROOM, null },
				{ "the top tier takes the last slot", List.of(slow, fast), HEADROOM, "fast" } };
	}

	@Test(dataProvider = "cases")
	public void selects(String name, List<WaitingRequest> waiting, int freeSlots, String expected) {
		ClassFloors floors = new ClassFloors(0);
		AccountUsage usage = new AccountUsage();
		usage.charge(1, "a", 1_000, NOW_MILLIS);
		usage.charge(1, "b", 100, NOW_MILLIS);
		TierOrder order = new TierOrder(floors, usage, 1, HEADROOM);
		Optional<WaitingRequest> next = order.next(waiting, freeSlots, SLOTS, NOW_MILLIS);
		Assert.assertEquals(next.map((request) -> request.key().requestId()).orElse(null), expected, name);
	}

	@Test
	public void servesAClassBelowItsFloorBeforeHigherTiersAndIntoTheHeadroom() {
		ClassFloors floors = new ClassFloors(0);
		floors.setFloors(Map.of("reply", 30, "summary", 5));
		floors.onSlotTaken("reply", 0);
		TierOrder order = new TierOrder(floors, new AccountUsage(), 1, HEADROOM);
		WaitingRequest fast = waiting("fast", "reply", 1, "a", 500, false);
		WaitingRequest slow = waiting("slow", "summary", 4, "a", 10, false);
		Assert.assertEquals(order.next(List.of(fast, slow), 1, SLOTS, NOW_MILLIS), Optional.of(slow));
		floors.onSlotTaken("summary", NOW_MILLIS);
		Assert.assertEquals(order.next(List.of(fast, slow), 1, SLOTS, NOW_MILLIS), Optional.of(fast),
				"one slot is more than the floor, so the next request gets no precedence");
	}

	@Test
	public void servesRequestsThatCanMeetTheirTargetFirst() {
		TierOrder order = new TierOrder(new ClassFloors(0), new AccountUsage(), 1, HEADROOM);
		WaitingRequest late = new WaitingRequest(new RequestKey("e", 1, "late", 1), "reply", 1, "a", 0, NOW_MILLIS + 10,
				NOW_MILLIS - 1, false);
		WaitingRequest inTime = waiting("inTime", "reply", 1, "a", 500, false);
		WaitingRequest lower = waiting("lower", "draft", 3, "a", 100, false);
		Assert.assertEquals(order.next(List.of(late, inTime), 4, SLOTS, NOW_MILLIS), Optional.of(inTime));
		Assert.assertEquals(order.next(List.of(lower, late), 4, SLOTS, NOW_MILLIS), Optional.of(late),
				"but before a lower tier");
	}

	@Test
	public void fcfsOrderIgnoresTiers() {
		WaitingRequest late = new WaitingRequest(new RequestKey("e", 1, "late", 1), "reply", 1, "a", 20, 90, 90, false);
		WaitingRequest early = new WaitingRequest(new RequestKey("e", 1, "early", 1), "summary", 4, "a", 10, 90, 90,
				false);
		Assert.assertEquals(new FcfsOrder().next(List.of(late, early), 1, SLOTS, NOW_MILLIS), Optional.of(early));
	}

	private static WaitingRequest waiting(String id, String requestClass, int tier, String account, long startInMillis,
			boolean resumed) {
		return new WaitingRequest(new RequestKey("entry", 1, id, 1), requestClass, tier, account, NOW_MILLIS - 50,
				NOW_MILLIS + startInMillis, NOW_MILLIS + startInMillis, resumed);
	}

}
