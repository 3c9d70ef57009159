package org.marjoramgw.policy.slot;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.marjoramgw.policy.preemption.RunningRequest;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.Waiting;
import org.marjoramgw.policy.share.AccountUsage;
import org.marjoramgw.policy.share.ClassFloors;
import org.marjoramgw.policy.share.SlotTimes;

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
	private static final double LEAST_PART_LEFT = 0.1;

	private final ClassFloors floors;

	private final AccountUsage usage;

	private final SlotTimes slotTimes;

	/** Times that slots were held, also by requests that didn't run to their end. */
	private final SlotTimes heldTimes = new SlotTimes();

	private final Map<RequestKey, SlotHolder> holderByKey = new LinkedHashMap<>();

	SlotHolders(ClassFloors floors, AccountUsage usage, SlotTimes slotTimes) {
		this.floors = floors;
		this.usage = usage;
		this.slotTimes = slotTimes;
	}

	void take(Waiting request, long nowMillis) {
		double expectedMillis = this.slotTimes.of(request.requestClass());
		this.holderByKey.put(request.key(), new SlotHolder(request, nowMillis, expectedMillis));
		this.floors.taken(request.requestClass(), nowMillis);
		this.usage.charge(request.tier(), request.account(), expectedMillis, nowMillis);
	}

	/**
	 * Frees the slot of a request.
	 * @param key its identity
	 * @param nowMillis the present time, in milliseconds
	 * @return the request, or empty if it held no slot
	 */
	Optional<Waiting> free(RequestKey key, long nowMillis) {
		SlotHolder holder = this.holderByKey.remove(key);
		if (holder == null) {
			return Optional.empty();
		}
		Waiting request = holder.request();
		long heldMillis = nowMillis - holder.takenMillis();
		this.heldTimes.add(request.requestClass(), heldMillis);
		this.floors.freed(request.requestClass(), nowMillis);
		this.usage.charge(request.tier(), request.account(), heldMillis - holder.chargedMillis(), nowMillis);
		return Optional.of(request);
	}

	/**
	 * Estimates when the next slot is freed.
	 * @param nowMillis the present time, in milliseconds
	 * @return time until then, in milliseconds; 0 if nothing is known
	 */
	long nextFreeInMillis(long nowMillis) {
		return (long) this.holderByKey.values()
			.stream()
			.mapToDouble((holder) -> leftMillis(holder, nowMillis))
			.min()
			.orElse(0);
	}

	private double leftMillis(SlotHolder holder, long nowMillis) {
		double expectedMillis = this.heldTimes.of(holder.request().requestClass());
		return Math.max(expectedMillis - (nowMillis - holder.takenMillis()), expectedMillis * LEAST_PART_LEFT);
	}

	Optional<SlotHolder> find(RequestKey key) {
		return Optional.ofNullable(this.holderByKey.get(key));
	}

	int size() {
		return this.holderByKey.size();
	}

	List<Waiting> requests() {
		return this.holderByKey.values().stream().map(SlotHolder::request).toList();
	}

	List<RunningRequest> resumable() {
		return this.holderByKey.values().stream().filter(SlotHolder::resumable).map(SlotHolder::toRunning).toList();
	}

}
