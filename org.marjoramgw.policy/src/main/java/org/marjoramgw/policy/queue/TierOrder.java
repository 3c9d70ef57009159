package org.marjoramgw.policy.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.marjoramgw.policy.share.AccountUsage;
import org.marjoramgw.policy.share.ClassFloors;
import org.marjoramgw.policy.share.SlotForecast;

/**
 * Orders requests by tier, then fairly between client accounts, then by latest start.
 * Within a tier, requests that have missed their target come last.
 * <p>
 * A class that is below its floor of slot-time goes before all of these, so that the
 * lowest tier is served during a long burst. The last free slots are kept for the top
 * tier.
 *
 * @author The marjoramgw authors
 */
public final class TierOrder implements GrantOrder {

	private static final Comparator<WaitingRequest> RESUMED_FIRST = Comparator.comparing(WaitingRequest::resumed)
		.reversed();

	private static final Comparator<WaitingRequest> BY_LATEST_START = Comparator
		.comparingLong(WaitingRequest::startByMillis)
		.thenComparingLong(WaitingRequest::arrivedMillis);

	private final ClassFloors floors;

	private final AccountUsage usage;

	private final int topTier;

	private final int headroomSlots;

	/**
	 * Creates an order.
	 * @param floors floors of the classes
	 * @param usage recent slot-time of the client accounts
	 * @param topTier number of the highest tier
	 * @param headroomSlots number of free slots that only the top tier may take
	 */
	public TierOrder(ClassFloors floors, AccountUsage usage, int topTier, int headroomSlots) {
		this.floors = floors;
		this.usage = usage;
		this.topTier = topTier;
		this.headroomSlots = headroomSlots;
	}

	@Override
	public Optional<WaitingRequest> next(Collection<WaitingRequest> waiting, int freeSlots, SlotForecast slots,
			long nowMillis) {
		if (waiting.isEmpty()) {
			return Optional.empty();
		}
		Optional<String> belowFloor = classBelowFloor(waiting, slots, nowMillis);
		if (belowFloor.isPresent()) {
			return firstInOrder(filter(waiting, (request) -> request.requestClass().equals(belowFloor.get())),
					nowMillis);
		}
		int tier = waiting.stream().mapToInt(WaitingRequest::tier).min().orElseThrow();
		int headroom = Math.min(this.headroomSlots, slots.limit() - 1);
		if (tier > this.topTier && freeSlots <= headroom) {
			return Optional.empty();
		}
		return firstInOrder(filter(waiting, (request) -> request.tier() == tier), nowMillis);
	}

	private Optional<String> classBelowFloor(Collection<WaitingRequest> waiting, SlotForecast slots, long nowMillis) {
		Map<String, Integer> tierByClass = new HashMap<>();
		waiting.forEach((request) -> tierByClass.merge(request.requestClass(), request.tier(), Math::min));
		Comparator<String> byTier = Comparator.comparing(tierByClass::get);
		Comparator<String> byFloorRatio = Comparator
			.comparingDouble((name) -> this.floors.floorRatio(name, slots, nowMillis));
		return tierByClass.keySet()
			.stream()
			.filter((name) -> this.floors.isBelowFloor(name, slots, nowMillis))
			.min(byTier.thenComparing(byFloorRatio));
	}

	private Optional<WaitingRequest> firstInOrder(List<WaitingRequest> candidates, long nowMillis) {
		Comparator<WaitingRequest> byUsage = Comparator
			.comparingDouble((request) -> this.usage.weightedMillis(request.tier(), request.account(), nowMillis));
		Comparator<WaitingRequest> lateLast = Comparator.comparing((request) -> request.isLate(nowMillis));
		return candidates.stream()
			.min(lateLast.thenComparing(RESUMED_FIRST).thenComparing(byUsage).thenComparing(BY_LATEST_START));
	}

	private static List<WaitingRequest> filter(Collection<WaitingRequest> waiting, Predicate<WaitingRequest> wanted) {
		List<WaitingRequest> result = new ArrayList<>();
		for (WaitingRequest request : waiting) {
			if (wanted.test(request)) {
				result.add(request);
			}
		}
		return result;
	}

}
