package org.marjoramgw.policy.slot;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.marjoramgw.policy.preemption.RunningRequest;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.policy.share.AccountUsage;
import org.marjoramgw.policy.share.ClassFloors;
import org.marjoramgw.policy.share.MeanSlotTimes;

/**
 * Requests that hold a slot, with their slot-time charged to class and client account.
 * <p>
 * An account is charged the expected time when it takes a slot and the difference when it
 * frees it, so that several slots taken at once don't look free of charge.
 *
 * @author The marjoramgw authors
 */
final class SlotHolders {

	/** Part of the usual time that a slot is held at least, however long it is held. */
	private static final double MIN_REMAINING_FRACTION = 0.1;

	private final ClassFloors floors;

	private final AccountUsage usage;

	private final MeanSlotTimes slotTimes;

	/** Times that slots were held, also by requests that didn't run to their end. */
	private final MeanSlotTimes heldTimes = new MeanSlotTimes();

	private final Map<RequestKey, SlotHolder> holderByKey = new LinkedHashMap<>();

	SlotHolders(ClassFloors floors, AccountUsage usage, MeanSlotTimes slotTimes) {
		this.floors = floors;
		this.usage = usage;
		this.slotTimes = slotTimes;
	}

	void take(WaitingRequest request, long nowMillis) {
		double expectedMillis = this.slotTimes.meanMillis(request.requestClass());
		this.holderByKey.put(request.key(), new SlotHolder(request, nowMillis, expectedMillis));
		this.floors.onSlotTaken(request.requestClass(), nowMillis);
		this.usage.charge(request.tier(), request.account(), expectedMillis, nowMillis);
	}

	/**
	 * Frees the slot of a request.
	 * @param key its identity
	 * @param nowMillis current time, in milliseconds
	 * @return the request, or empty if it held no slot
	 */
	Optional<WaitingRequest> free(RequestKey key, long nowMillis) {
		SlotHolder holder = this.holderByKey.remove(key);
		if (holder == null) {
			return Optional.empty();
		}
		WaitingRequest request = holder.request();
		long heldMillis = nowMillis - holder.takenMillis();
		this.heldTimes.add(request.requestClass(), heldMillis);
		this.floors.onSlotFreed(request.requestClass(), nowMillis);
		this.usage.charge(request.tier(), request.account(), heldMillis - holder.chargedMillis(), nowMillis);
		return Optional.of(request);
	}

	/**
	 * Estimates when the next slot is freed.
	 * @param nowMillis current time, in milliseconds
	 * @return time until then, in milliseconds; 0 if nothing is known
	 */
	long nextFreeInMillis(long nowMillis) {
		return (long) this.holderByKey.values()
			.stream()
			.mapToDouble((holder) -> remainingMillis(holder, nowMillis))
			.min()
			.orElse(0);
	}

	private double remainingMillis(SlotHolder holder, long nowMillis) {
		double expectedMillis = this.heldTimes.meanMillis(holder.request().requestClass());
		return Math.max(expectedMillis - (nowMillis - holder.takenMillis()), expectedMillis * MIN_REMAINING_FRACTION);
	}

	Optional<SlotHolder> find(RequestKey key) {
		return Optional.ofNullable(this.holderByKey.get(key));
	}

	int size() {
		return this.holderByKey.size();
	}

	List<WaitingRequest> requests() {
		return this.holderByKey.values().stream().map(SlotHolder::request).toList();
	}

	List<RunningRequest> resumable() {
		return this.holderByKey.values().stream().filter(SlotHolder::resumable).map(SlotHolder::toRunning).toList();
	}

}
