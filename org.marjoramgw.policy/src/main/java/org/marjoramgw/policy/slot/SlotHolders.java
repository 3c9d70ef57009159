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

	private final ClassFloors floors;

	private final AccountUsage usage;

	private final SlotTimes slotTimes;

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
		this.floors.freed(request.requestClass(), nowMillis);
		this.usage.charge(request.tier(), request.account(), heldMillis - holder.chargedMillis(), nowMillis);
		return Optional.of(request);
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
