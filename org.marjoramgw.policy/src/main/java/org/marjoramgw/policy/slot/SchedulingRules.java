package org.marjoramgw.policy.slot;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.Limits;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.queue.FcfsOrder;
import org.marjoramgw.policy.queue.GrantOrder;
import org.marjoramgw.policy.queue.TierOrder;
import org.marjoramgw.policy.share.AccountUsage;
import org.marjoramgw.policy.share.ClassFloors;

/**
 * Rules that the configuration sets for the slots of one backend server.
 * <p>
 * Not thread-safe. Until it is configured, it knows no classes and allows no preemption.
 *
 * @author The marjoramgw authors
 */
final class SchedulingRules {

	private static final String FCFS = "fcfs";

	private final boolean modelEngine;

	private Map<String, RequestClass> classes = Map.of();

	private Limits limits;

	private int topTier = 1;

	SchedulingRules(boolean modelEngine) {
		this.modelEngine = modelEngine;
	}

	void configure(Configuration configuration) {
		this.limits = configuration.limits();
		this.classes = configuration.classes();
		this.topTier = this.classes.values().stream().mapToInt(RequestClass::tier).min().orElse(1);
	}

	boolean hasLimits(Limits other) {
		return this.limits != null && this.limits.equals(other);
	}

	Optional<RequestClass> requestClass(String name) {
		return Optional.ofNullable(this.classes.get(name));
	}

	/**
	 * Returns the target for the gap between the tokens of a class.
	 * @param requestClass name of the class
	 * @return the target, in milliseconds, or 0 if there is none
	 */
	long tokenGapMillis(String requestClass) {
		return requestClass(requestClass).map(RequestClass::tokenGapMillis).orElse(0L);
	}

	Map<String, Integer> floorPercents() {
		return this.classes.values().stream().collect(Collectors.toMap(RequestClass::name, RequestClass::floorPercent));
	}

	/**
	 * Returns the most urgent tier that any class has.
	 * @return the lowest number of a tier
	 */
	int topTier() {
		return this.topTier;
	}

	/**
	 * Tells whether requests are granted in the order of their arrival, whatever their
	 * class.
	 * @return whether the queue order is first come, first served
	 */
	boolean isFcfs() {
		return this.limits != null && FCFS.equals(this.limits.queueOrder());
	}

	boolean isPreemptionAllowed() {
		return this.modelEngine && this.limits != null && this.limits.preemption() && !isFcfs();
	}

	SlotLimit newSlotLimit() {
		return this.modelEngine ? new AdaptiveSlotLimit(this.limits.minSlotCount(), this.limits.slotCount())
				: new FixedSlotLimit(this.limits.plainSlotCount());
	}

	GrantOrder newOrder(ClassFloors floors, AccountUsage usage) {
		int headroom = this.modelEngine ? this.limits.headroomSlotCount() : 0;
		return isFcfs() ? new FcfsOrder() : new TierOrder(floors, usage, this.topTier, headroom);
	}

}
