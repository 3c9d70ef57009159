package org.marjoramgw.policy.share;

import java.util.HashMap;
import java.util.Map;

/**
 * Slot-time of each class compared with its floor, the least share that the class gets in
 * any window of a few seconds while it has work.
 * <p>
 * Shares are measured in slot-time and not in grants, since a long answer holds its slot
 * longer. Requests in flight count as they run. A slot is granted only when another
 * request frees it, so a class counts as below its floor if it would be below it by the
 * time that the next slot is expected to be free.
 *
 * @author The marjoramgw authors
 */
public final class ClassFloors {

	/** Length of the sliding window in which each class gets its floor. */
	private static final long WINDOW_MILLIS = 5_000;

	private static final double PERCENT = 100.0;

	/**
	 * Ratio of slot-time to the floor from which a class counts as served. It exceeds 1
	 * because the next slot may be free later than expected or go to another class below
	 * its floor.
	 */
	private static final double SATISFIED_RATIO = 1.25;

	private final Map<String, SlotTimeHistory> histories = new HashMap<>();

	private final long startMillis;

	private Map<String, Integer> floorPercents = Map.of();

	/**
	 * Creates the accounting without floors.
	 * @param nowMillis current time, in milliseconds
	 */
	public ClassFloors(long nowMillis) {
		this.startMillis = nowMillis;
	}

	/**
	 * Sets the floors.
	 * @param percentByClass minimum share of slot-time of each class, in percent
	 */
	public void setFloors(Map<String, Integer> percentByClass) {
		this.floorPercents = Map.copyOf(percentByClass);
	}

	/**
	 * Records that a slot was taken.
	 * @param requestClass name of the class
	 * @param nowMillis current time, in milliseconds
	 */
	public void onSlotTaken(String requestClass, long nowMillis) {
		historyOf(requestClass).changeSlots(1, nowMillis);
	}

	/**
	 * Records that a slot was freed.
	 * @param requestClass name of the class
	 * @param nowMillis current time, in milliseconds
	 */
	public void onSlotFreed(String requestClass, long nowMillis) {
		historyOf(requestClass).changeSlots(-1, nowMillis);
	}

	/**
	 * Discards the slot-time used so far in the window. To be called while slots are
	 * free: what a class uses then must not count against it in the next burst.
	 * @param nowMillis current time, in milliseconds
	 */
	public void discardHistory(long nowMillis) {
		this.histories.values().forEach((history) -> history.clear(nowMillis));
	}

	/**
	 * Returns whether a class needs the slot that is free now to keep its floor.
	 * @param requestClass name of the class
	 * @param slots forecast of the slots
	 * @param nowMillis current time, in milliseconds
	 * @return whether it would be below its floor when the next slot is free, and holds
	 * no slot now, or fewer than the floor's share of the slot limit
	 */
	public boolean isBelowFloor(String requestClass, SlotForecast slots, long nowMillis) {
		double floorSlots = Math.max(floorSlots(requestClass, slots), 1);
		return hasFloor(requestClass) && historyOf(requestClass).heldSlots() < floorSlots
				&& floorRatio(requestClass, slots, nowMillis) < SATISFIED_RATIO;
	}

	/**
	 * Returns whether a class can lose a slot without falling below its floor.
	 * @param requestClass name of the class
	 * @param slots forecast of the slots
	 * @param nowMillis current time, in milliseconds
	 * @return whether it stays at or above its floor
	 */
	public boolean canYieldSlot(String requestClass, SlotForecast slots, long nowMillis) {
		return !hasFloor(requestClass) || historyOf(requestClass).heldSlots() - 1 >= floorSlots(requestClass, slots)
				|| floorRatio(requestClass, slots, nowMillis) >= SATISFIED_RATIO;
	}

	/**
	 * Returns the ratio of the slot-time of a class to its floor, in the window that ends
	 * when the next slot is expected to be free.
	 * @param requestClass name of the class
	 * @param slots forecast of the slots
	 * @param nowMillis current time, in milliseconds
	 * @return share of all slot-time divided by the floor
	 */
	public double floorRatio(String requestClass, SlotForecast slots, long nowMillis) {
		long nextFreeMillis = nowMillis + slots.nextFreeInMillis();
		long fromMillis = nextFreeMillis - WINDOW_MILLIS;
		long totalMillis = this.histories.values()
			.stream()
			.mapToLong((history) -> history.usedBetween(fromMillis, nextFreeMillis))
			.sum();
		int percent = this.floorPercents.getOrDefault(requestClass, 0);
		if (totalMillis == 0 || percent == 0) {
			return SATISFIED_RATIO;
		}
		return historyOf(requestClass).usedBetween(fromMillis, nowMillis) / (totalMillis * percent / PERCENT);
	}

	/**
	 * Returns the total slot-time that a class has used.
	 * @param requestClass name of the class
	 * @param nowMillis current time, in milliseconds
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
