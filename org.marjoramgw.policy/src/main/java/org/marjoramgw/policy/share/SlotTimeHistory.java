package org.marjoramgw.policy.share;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Recent history of the number of slots that one class held, and the slot-time that
 * follows from it.
 * <p>
 * Keeps one element for each slot taken or freed; between two changes the number of slots
 * is constant.
 *
 * @author The marjoramgw authors
 */
final class SlotTimeHistory {

	private final long retentionMillis;

	private final Deque<Change> changes = new ArrayDeque<>();

	private int heldSlots;

	/**
	 * Creates a history that starts without slots.
	 * @param retentionMillis how far back the history reaches, in milliseconds
	 * @param nowMillis current time, in milliseconds
	 */
	SlotTimeHistory(long retentionMillis, long nowMillis) {
		this.retentionMillis = retentionMillis;
		this.changes.add(new Change(nowMillis, 0, 0));
	}

	int heldSlots() {
		return this.heldSlots;
	}

	/**
	 * Records that slots were taken or freed.
	 * @param delta number of slots taken, negative if they were freed
	 * @param nowMillis current time, in milliseconds
	 */
	void changeSlots(int delta, long nowMillis) {
		long used = usedUntil(nowMillis);
		this.heldSlots += delta;
		this.changes.addLast(new Change(nowMillis, used, this.heldSlots));
		prune(nowMillis);
	}

	/**
	 * Discards the history before now.
	 * @param nowMillis current time, in milliseconds
	 */
	void clear(long nowMillis) {
		long used = usedUntil(nowMillis);
		this.changes.clear();
		this.changes.add(new Change(nowMillis, used, this.heldSlots));
	}

	/**
	 * Returns the slot-time used in an interval.
	 * @param fromMillis start of the interval, in milliseconds
	 * @param toMillis end of the interval, in milliseconds
	 * @return slot-time in milliseconds; discarded history counts as unused
	 */
	long usedBetween(long fromMillis, long toMillis) {
		return Math.max(usedUntil(toMillis) - usedUntil(fromMillis), 0);
	}

	/**
	 * Returns the total slot-time used up to a time.
	 * @param atMillis the time, in milliseconds
	 * @return slot-time in milliseconds since the start
	 */
	long usedUntil(long atMillis) {
		Change last = this.changes.getFirst();
		for (Change change : this.changes) {
			if (change.atMillis() > atMillis) {
				break;
			}
			last = change;
		}
		return last.usedMillis() + last.heldSlots() * Math.max(atMillis - last.atMillis(), 0);
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
	 * Change of the number of held slots.
	 *
	 * @param atMillis time of the change, in milliseconds
	 * @param usedMillis total slot-time used until then, in milliseconds
	 * @param heldSlots number of slots held from then on
	 */
	private record Change(long atMillis, long usedMillis, int heldSlots) {

	}

}
