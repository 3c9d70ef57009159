package org.marjoramgw.policy.share;

import java.util.HashMap;
import java.util.Map;

/**
 * Exponentially weighted moving average, per class, of the time that a request holds its
 * slot.
 *
 * @author The marjoramgw authors
 */
public final class MeanSlotTimes {

	private static final double SMOOTHING_FACTOR = 0.1;

	private final Map<String, Double> meanMillis = new HashMap<>();

	/**
	 * Adds a sample.
	 * @param requestClass name of the class
	 * @param slotMillis time that the slot was held, in milliseconds
	 */
	public void add(String requestClass, long slotMillis) {
		this.meanMillis.merge(requestClass, (double) slotMillis,
				(mean, sample) -> mean + SMOOTHING_FACTOR * (sample - mean));
	}

	/**
	 * Returns the recent mean of a class.
	 * @param requestClass name of the class
	 * @return time in milliseconds, 0 before the first sample
	 */
	public double meanMillis(String requestClass) {
		return this.meanMillis.getOrDefault(requestClass, 0.0);
	}

}
