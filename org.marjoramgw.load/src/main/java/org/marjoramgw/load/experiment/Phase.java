package org.marjoramgw.load.experiment;

import java.util.Map;

/**
 * Phase of an experiment, with a constant mean load.
 *
 * @param name name of the phase
 * @param durationMillis duration, in milliseconds
 * @param loadPercent load level of the classes that {@code classPercent} doesn't list, in
 * percent
 * @param classPercent load levels of individual request classes, in percent
 * @param floodAccount client account that sends additional load, or an empty string
 * @param floodPercent additional load of the flood account, in percent of the load of all
 * accounts
 * @author The marjoramgw authors
 */
public record Phase(String name, long durationMillis, int loadPercent, Map<String, Integer> classPercent,
		String floodAccount, int floodPercent) {

	/**
	 * Returns the load level of a request class.
	 * @param requestClass name of the request class
	 * @return the load level, in percent
	 */
	public int percentOf(String requestClass) {
		return this.classPercent.getOrDefault(requestClass, this.loadPercent);
	}

}
