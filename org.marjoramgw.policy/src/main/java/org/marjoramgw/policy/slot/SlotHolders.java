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
 * Requests that hold a slot; charges their slot-time to class and client account.
 * <p>
 * An account is charged the expected time when it takes a slot and the difference to the
 * actual time when it frees it, so that slots taken at the same time count from the
 * start.
 *
 * @author The marjoramgw authors
 */
final class SlotHolders {

	/**
	 * Minimum of the estimated remaining time of a request, as a fraction of the mean
	 * time that its class holds a slot.
	 */
	private static final double MIN_REMAINING_FRACTION = 0.1;

	private final ClassFloors floors;

	private final AccountUsage usage;

	private final MeanSlotTimes slotTimes;

	/** Mean slot-times that include requests that didn't run to completion. */
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
	 * @param key identity of the attempt
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
	 * Estimates the time until the next slot is freed.
	 * @param nowMillis current time, in milliseconds
	 * @return time in milliseconds, 0 if there is no estimate
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
