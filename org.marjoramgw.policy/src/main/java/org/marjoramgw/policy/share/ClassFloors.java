package org.marjoramgw.policy.share;

import java.util.HashMap;
import java.util.Map;

/**
 * Floors of slot-time for each class.
 * <p>
 * The share is taken from slot-time and not from grants, since a long answer holds its
 * slot longer. Requests in flight count as they run.
 *
 * @author The marjoramgw authors
 */
public final class ClassFloors {

	private static final long TIME_CONSTANT_MILLIS = 10_000;

	private static final double PERCENT = 100.0;

	/**
	 * Part of the floor at which a class counts as served. Slots are handed over only
	 * when others end, so that aiming at the floor itself would end a little below it.
	 */
	private static final double SERVED_FILL = 1.1;

	/**
	 * Part of the floor above which slot-time is forgotten. It bounds how long a class
	 * may go without a slot after long answers of its own: 2.4 s with the time constant
	 * above.
	 */
	private static final double MAX_FILL = 1.4;

	private final Map<String, ClassTime> times = new HashMap<>();

	private final DecayingSum total;

	private Map<String, Integer> floorPercents = Map.of();

	private long updatedMillis;

	/**
	 * Creates the accounting.
	 * @param nowMillis the present time, in milliseconds
	 */
	public ClassFloors(long nowMillis) {
		this.total = new DecayingSum(TIME_CONSTANT_MILLIS, nowMillis);
		this.updatedMillis = nowMillis;
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
	public void taken(String requestClass, long nowMillis) {
		update(nowMillis);
		timeOf(requestClass).inFlight++;
	}

	/**
	 * Notes that a slot was freed.
	 * @param requestClass name of the class
	 * @param nowMillis the present time, in milliseconds
	 */
	public void freed(String requestClass, long nowMillis) {
		update(nowMillis);
		timeOf(requestClass).inFlight--;
	}

	/**
	 * Forgets what classes got beyond their floors, since slots were free: it must not be
	 * set against them in the next burst.
	 * @param nowMillis the present time, in milliseconds
	 */
	public void forgetSurplus(long nowMillis) {
		update(nowMillis);
		capAt(SERVED_FILL, nowMillis);
	}

	/**
	 * Tells whether a class is below its floor.
	 * @param requestClass name of the class
	 * @param slotLimit present slot limit
	 * @param nowMillis the present time, in milliseconds
	 * @return whether its recent share and its slots now are both below the floor
	 */
	public boolean isBelow(String requestClass, int slotLimit, long nowMillis) {
		int percent = this.floorPercents.getOrDefault(requestClass, 0);
		if (percent == 0) {
			return false;
		}
		update(nowMillis);
		ClassTime time = timeOf(requestClass);
		double floorSlots = Math.max(slotLimit * percent / PERCENT, 1);
		return time.inFlight < floorSlots && fillOf(requestClass, nowMillis) < SERVED_FILL;
	}

	/**
	 * Tells whether a class may lose a slot without falling below its floor.
	 * @param requestClass name of the class
	 * @param slotLimit present slot limit
	 * @param nowMillis the present time, in milliseconds
	 * @return whether it stays at or above its floor
	 */
	public boolean maySpare(String requestClass, int slotLimit, long nowMillis) {
		int percent = this.floorPercents.getOrDefault(requestClass, 0);
		if (percent == 0) {
			return true;
		}
		update(nowMillis);
		double floorSlots = slotLimit * percent / PERCENT;
		return timeOf(requestClass).inFlight - 1 >= floorSlots || fillOf(requestClass, nowMillis) >= SERVED_FILL;
	}

	/**
	 * Returns how far a class's recent share fills its floor.
	 * @param requestClass name of the class
	 * @param nowMillis the present time, in milliseconds
	 * @return share divided by floor; 1 or more once the floor is reached
	 */
	public double fillOf(String requestClass, long nowMillis) {
		update(nowMillis);
		double used = timeOf(requestClass).recent.valueAt(nowMillis);
		double all = this.total.valueAt(nowMillis);
		int percent = this.floorPercents.getOrDefault(requestClass, 0);
		if (all <= 0 || percent == 0) {
			return 1;
		}
		return used / all / (percent / PERCENT);
	}

	/**
	 * Returns all slot-time that a class has used.
	 * @param requestClass name of the class
	 * @param nowMillis the present time, in milliseconds
	 * @return slot-time in milliseconds since the start
	 */
	public long slotMillis(String requestClass, long nowMillis) {
		update(nowMillis);
		return timeOf(requestClass).allMillis;
	}

	private void update(long nowMillis) {
		long elapsedMillis = nowMillis - this.updatedMillis;
		if (elapsedMillis <= 0) {
			return;
		}
		for (ClassTime time : this.times.values()) {
			double slotMillis = (double) time.inFlight * elapsedMillis;
			time.recent.add(slotMillis, nowMillis);
			time.allMillis += (long) slotMillis;
			this.total.add(slotMillis, nowMillis);
		}
		this.updatedMillis = nowMillis;
		capAt(MAX_FILL, nowMillis);
	}

	private void capAt(double fill, long nowMillis) {
		double all = this.total.valueAt(nowMillis);
		this.times.forEach((name, time) -> {
			int percent = this.floorPercents.getOrDefault(name, 0);
			if (percent > 0) {
				time.recent.capAt(all * percent / PERCENT * fill, nowMillis);
			}
		});
	}

	private ClassTime timeOf(String requestClass) {
		return this.times.computeIfAbsent(requestClass, (name) -> new ClassTime(this.updatedMillis));
	}

	private static final class ClassTime {

		private final DecayingSum recent;

		private int inFlight;

		private long allMillis;

		ClassTime(long nowMillis) {
			this.recent = new DecayingSum(TIME_CONSTANT_MILLIS, nowMillis);
		}

	}

}
