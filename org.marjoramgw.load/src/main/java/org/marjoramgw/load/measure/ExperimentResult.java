package org.marjoramgw.load.measure;

import java.util.List;
import java.util.Map;

/**
 * Result of one run of an experiment.
 *
 * @param experiment name of the experiment
 * @param deployment name of the deployment
 * @param seed seed of the run
 * @param limits overridden limits, by key
 * @param windowMillis length of a window, in milliseconds
 * @param minWindowRequests minimum number of requests of a class in a window for the
 * window to count
 * @param durationMillis total duration of all phases, in milliseconds
 * @param machineLoad load average of the machine at the end of the run
 * @param stolenPercent share of processor time that the hypervisor gave to other virtual
 * machines during the run (steal time), in percent; -1 if unknown
 * @param classes measures by request class, highest tier first
 * @param accounts measures by client account
 * @param work useful and wasted work
 * @param errorCodes number of errors that callers received, by result code
 * @param entryResults results counted by the entries, by result code
 * @param sideResults results counted by the side processes, by result code
 * @param misdelivered number of responses that contain a token of another request
 * @param windows measures by window
 * @param directFirstToken time to the first token when engines are called directly, or
 * {@code null} if not measured
 * @author The marjoramgw authors
 */
public record ExperimentResult(String experiment, String deployment, long seed, Map<String, Object> limits,
		long windowMillis, int minWindowRequests, long durationMillis, double machineLoad, double stolenPercent,
		List<ClassResult> classes, List<AccountResult> accounts, WorkResult work, Map<Integer, Long> errorCodes,
		Map<Integer, Long> entryResults, Map<Integer, Long> sideResults, long misdelivered, List<WindowResult> windows,
		Percentiles directFirstToken) {

	/**
	 * Returns the measures of a request class.
	 * @param name name of the request class
	 * @return its measures
	 */
	public ClassResult classResult(String name) {
		return this.classes.stream().filter((result) -> result.name().equals(name)).findFirst().orElseThrow();
	}

}
