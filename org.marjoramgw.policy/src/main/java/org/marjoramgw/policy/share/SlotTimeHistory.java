package org.marjoramgw.policy.share;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Slot-time of one class over the recent past: how many slots it held, and since when.
 * <p>
 * Keeps one point for each slot taken or freed; between two points the number of slots is
 * the same.
 *
 * @author The marjoramgw authors
 */
final class SlotTimeHistory {

	private final long retentionMillis;

	private final Deque<Change> changes = new ArrayDeque<>();

	private int heldSlots;

	/**
	 * Creates a history without slots.
	 * @param keptMillis how far back it reaches, in milliseconds
	 * @param nowMillis the present time, in milliseconds
	 */
	SlotTimeHistory(long keptMillis, long nowMillis) {
		this.retentionMillis = keptMillis;
		this.changes.add(new Change(nowMillis, 0, 0));
	}

	int heldSlots() {
		return this.heldSlots;
	}

	/**
	 * Notes that slots were taken or freed.
	 * @param change how many more are held from now on
	 * @param nowMillis the present time, in milliseconds
	 */
	void changeSlots(int change, long nowMillis) {
		long used = usedUntil(nowMillis);
		this.heldSlots += change;
		this.changes.addLast(new Change(nowMillis, used, this.heldSlots));
		prune(nowMillis);
	}

	/**
	 * Forgets what was used before now.
	 * @param nowMillis the present time, in milliseconds
	 */
	void clear(long nowMillis) {
		long used = usedUntil(nowMillis);
		this.changes.clear();
		this.changes.add(new Change(nowMillis, used, this.heldSlots));
	}

	/**
	 * Returns the slot-time used in a span.
	 * @param fromMillis its start, in milliseconds
	 * @param toMillis its end, in milliseconds
	 * @return slot-time in milliseconds; what was forgotten counts as unused
	 */
	long usedBetween(long fromMillis, long toMillis) {
		return Math.max(usedUntil(toMillis) - usedUntil(fromMillis), 0);
	}

	/**
	 * Returns all slot-time used.
	 * @param atMillis end of the span, in milliseconds
	 * @return slot-time in milliseconds since the start
	 */
	long usedUntil(long atMillis) {
		Change before = this.changes.getFirst();
		for (Change point : this.changes) {
			if (point.atMillis() > atMillis) {
				break;
			}
			before = point;
		}
		return before.usedMillis() + before.heldSlots() * Math.max(atMillis - before.atMillis(), 0);
	}

	private void prune(long nowMillis) {
		while (this.changes.size() > 1 && secondChangeMillis() < nowMillis - this.retentionMillis) {
			this.changes.removeFirst();
		}
	}

	private long secondChangeMillis() {
		return this.changes.stream().skip(1).findFirst().orElseThrow().atMillis();
	}

	/**
	 * Moment from which on a number of slots was held.
	 *
	 * @param atMillis the moment, in milliseconds
	 * @param usedMillis slot-time used before it, in milliseconds
	 * @param heldSlots slots held since
	 */
	private record Change(long atMillis, long usedMillis, int heldSlots) {

	}

}
