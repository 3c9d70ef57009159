package org.marjoramgw.policy.share;

import java.util.HashMap;
import java.util.Map;

/**
 * Floors of slot-time for each class, which hold in any span of a few seconds while the
 * class has work.
 * <p>
 * The share is taken from slot-time and not from grants, since a long answer holds its
 * slot longer. Requests in flight count as they run. Slots are handed over only when
 * others end: a class is below its floor if it would be by the time that the next slot is
 * expected to be free.
 *
 * @author The marjoramgw authors
 */
public final class ClassFloors {

	/** Span in which each class gets its floor, wherever it begins. */
	private static final long WINDOW_MILLIS = 5_000;

	private static final double PERCENT = 100.0;

	/**
	 * Part of the floor at which a class counts as served, since the next slot may be
	 * free later than expected, or go to another class below its floor.
	 */
	private static final double SATISFIED_RATIO = 1.25;

	private final Map<String, SlotTimeHistory> histories = new HashMap<>();

	private final long startMillis;

	private Map<String, Integer> floorPercents = Map.of();

	/**
	 * Creates the accounting.
	 * @param nowMillis the present time, in milliseconds
	 */
	public ClassFloors(long nowMillis) {
		this.startMillis = nowMillis;
	}

	/**
	 * Sets the floors.
	 * @param percentByClass least share of slot-time of each class, in percent
	 */
	public void setFloors(Map<String, Integer> percentByClass) {
		this.floorPercents = Map.copyOf(percentByClass);
	}

	/**
	 * Notes that a slot was taken.
	 * @param requestClass name of the class
	 * @param nowMillis the present time, in milliseconds
	 */
	public void onSlotTaken(String requestClass, long nowMillis) {
		historyOf(requestClass).changeSlots(1, nowMillis);
	}

	/**
	 * Notes that a slot was freed.
	 * @param requestClass name of the class
	 * @param nowMillis the present time, in milliseconds
	 */
	public void onSlotFreed(String requestClass, long nowMillis) {
		historyOf(requestClass).changeSlots(-1, nowMillis);
	}

	/**
	 * Forgets what classes got since slots were free: it must not be set against them in
	 * the next burst.
	 * @param nowMillis the present time, in milliseconds
	 */
	public void discardHistory(long nowMillis) {
		this.histories.values().forEach((history) -> history.clear(nowMillis));
	}

	/**
	 * Tells whether a class needs the slot that is free now to keep its floor.
	 * @param requestClass name of the class
	 * @param slots the slots
	 * @param nowMillis the present time, in milliseconds
	 * @return whether it would be below the floor when the next slot is free, and holds
	 * fewer slots now than the floor is worth
	 */
	public boolean isBelowFloor(String requestClass, SlotForecast slots, long nowMillis) {
		double floorSlots = Math.max(floorSlots(requestClass, slots), 1);
		return hasFloor(requestClass) && historyOf(requestClass).heldSlots() < floorSlots
				&& floorRatio(requestClass, slots, nowMillis) < SATISFIED_RATIO;
	}

	/**
	 * Tells whether a class may lose a slot without falling below its floor.
	 * @param requestClass name of the class
	 * @param slots the slots
	 * @param nowMillis the present time, in milliseconds
	 * @return whether it stays at or above its floor
	 */
	public boolean canYieldSlot(String requestClass, SlotForecast slots, long nowMillis) {
		return !hasFloor(requestClass) || historyOf(requestClass).heldSlots() - 1 >= floorSlots(requestClass, slots)
				|| floorRatio(requestClass, slots, nowMillis) >= SATISFIED_RATIO;
	}

	/**
	 * Returns how far a class fills its floor, in the span that ends when the next slot
	 * is expected to be free.
	 * @param requestClass name of the class
	 * @param slots the slots
	 * @param nowMillis the present time, in milliseconds
	 * @return share of the slot-time divided by the floor
	 */
	public double floorRatio(String requestClass, SlotForecast slots, long nowMillis) {
		long nextFreeMillis = nowMillis + slots.nextFreeInMillis();
		long fromMillis = nextFreeMillis - WINDOW_MILLIS;
		long allMillis = this.histories.values()
			.stream()
			.mapToLong((history) -> history.usedBetween(fromMillis, nextFreeMillis))
			.sum();
		int percent = this.floorPercents.getOrDefault(requestClass, 0);
		if (allMillis == 0 || percent == 0) {
			return SATISFIED_RATIO;
		}
		return historyOf(requestClass).usedBetween(fromMillis, nowMillis) / (allMillis * percent / PERCENT);
	}

	/**
	 * Returns all slot-time that a class has used.
	 * @param requestClass name of the class
	 * @param nowMillis the present time, in milliseconds
	 * @return slot-time in milliseconds since the start
	 */
	public long usedSlotMillis(String requestClass, long nowMillis) {
		return historyOf(requestClass).usedUntil(nowMillis);
	}

	private boolean hasFloor(String requestClass) {
		return this.floorPercents.getOrDefault(requestClass, 0) > 0;
	}

	private double floorSlots(String requestClass, SlotForecast slots) {
		return slots.limit() * this.floorPercents.getOrDefault(requestClass, 0) / PERCENT;
	}

	private SlotTimeHistory historyOf(String requestClass) {
		return this.histories.computeIfAbsent(requestClass,
				(name) -> new SlotTimeHistory(WINDOW_MILLIS, this.startMillis));
	}

}
