package org.marjoramgw.load.measure;

import java.util.List;
import java.util.Map;

/**
 * Result of one run of an experiment.
 *
 * @param experiment name of the experiment
 * @param deployment name of the deployment
 * @param seed seed of the run
 * @param limits limits that the experiment replaced
 * @param windowMillis length of a window, in milliseconds
 * @param minWindowRequests least number of requests of a class in a window that counts
 * @param durationMillis length of all phases, in milliseconds
 * @param machineLoad load average of the machine when the run ended
 * @param stolenPercent share of the processors' time that a virtual machine's host gave
 * to others during the run, in percent; -1 if unknown
 * @param classes measures by class, highest tier first
 * @param accounts measures by client account
 * @param work useful and wasted work
 * @param errorCodes errors that callers saw, by number
 * @param entryResults results that the entries counted, by number
 * @param sideResults results that the side processes counted, by number
 * @param misdelivered answers with a token of another request
 * @param windows measures by window
 * @param directFirstToken time to the first token when engines were called directly, or
 * {@code null}
 * @author The marjoramgw authors
 */
public record ExperimentResult(String experiment, String deployment, long seed, Map<String, Object> limits,
		long windowMillis, int minWindowRequests, long durationMillis, double machineLoad, double stolenPercent,
		List<ClassResult> classes, List<AccountResult> accounts, WorkResult work, Map<Integer, Long> errorCodes,
		Map<Integer, Long> entryResults, Map<Integer, Long> sideResults, long misdelivered, List<WindowResult> windows,
		Percentiles directFirstToken) {

	/**
	 * Finds the measures of a class.
	 * @param name name of the class
	 * @return its measures
	 */
	public ClassResult classResult(String name) {
		return this.classes.stream().filter((result) -> result.name().equals(name)).findFirst().orElseThrow();
	}

}
