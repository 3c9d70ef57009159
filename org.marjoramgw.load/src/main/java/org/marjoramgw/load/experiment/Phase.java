package org.marjoramgw.load.experiment;

import java.util.Map;

/**
 * Part of an experiment with a steady load.
 *
 * @param name its name
 * @param durationMillis its length, in milliseconds
 * @param loadPercent load of the classes that have no share of their own, in percent
 * @param classPercent load of single classes, in percent
 * @param floodAccount account that sends more, or an empty text
 * @param floodPercent what it sends besides the load of all accounts, in percent of that
 * load
 * @author The marjoramgw authors
 */
public record Phase(String name, long durationMillis, int loadPercent, Map<String, Integer> classPercent,
		String floodAccount, int floodPercent) {

	/**
	 * Returns the load of a class.
	 * @param requestClass name of the class
	 * @return its load, in percent
	 */
	public int percentOf(String requestClass) {
		return this.classPercent.getOrDefault(requestClass, this.loadPercent);
	}

}
