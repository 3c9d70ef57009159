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

	private final long keptMillis;

	private final Deque<Point> points = new ArrayDeque<>();

	private int inFlight;

	/**
	 * Creates a history without slots.
	 * @param keptMillis how far back it reaches, in milliseconds
	 * @param nowMillis the present time, in milliseconds
	 */
	SlotTimeHistory(long keptMillis, long nowMillis) {
		this.keptMillis = keptMillis;
		this.points.add(new Point(nowMillis, 0, 0));
	}

	int inFlight() {
		return this.inFlight;
	}

	/**
	 * Notes that slots were taken or freed.
	 * @param change how many more are held from now on
	 * @param nowMillis the present time, in milliseconds
	 */
	void change(int change, long nowMillis) {
		long used = usedUntil(nowMillis);
		this.inFlight += change;
		this.points.addLast(new Point(nowMillis, used, this.inFlight));
		prune(nowMillis);
	}

	/**
	 * Forgets what was used before now.
	 * @param nowMillis the present time, in milliseconds
	 */
	void forget(long nowMillis) {
		long used = usedUntil(nowMillis);
		this.points.clear();
		this.points.add(new Point(nowMillis, used, this.inFlight));
	}

	/**
	 * Returns the slot-time used in a span.
	 * @param fromMillis its start, in milliseconds
	 * @param toMillis its end, in milliseconds
	 * @return slot-time in milliseconds; what was forgotten counts as unused
	 */
	long used(long fromMillis, long toMillis) {
		return Math.max(usedUntil(toMillis) - usedUntil(fromMillis), 0);
	}

	/**
	 * Returns all slot-time used.
	 * @param atMillis end of the span, in milliseconds
	 * @return slot-time in milliseconds since the start
	 */
	long usedUntil(long atMillis) {
		Point before = this.points.getFirst();
		for (Point point : this.points) {
			if (point.atMillis() > atMillis) {
				break;
			}
			before = point;
		}
		return before.usedMillis() + before.inFlight() * Math.max(atMillis - before.atMillis(), 0);
	}

	private void prune(long nowMillis) {
		while (this.points.size() > 1 && secondMillis() < nowMillis - this.keptMillis) {
			this.points.removeFirst();
		}
	}

	private long secondMillis() {
		return this.points.stream().skip(1).findFirst().orElseThrow().atMillis();
	}

	/**
	 * Moment from which on a number of slots was held.
	 *
	 * @param atMillis the moment, in milliseconds
	 * @param usedMillis slot-time used before it, in milliseconds
	 * @param inFlight slots held since
	 */
	private record Point(long atMillis, long usedMillis, int inFlight) {

	}

}
