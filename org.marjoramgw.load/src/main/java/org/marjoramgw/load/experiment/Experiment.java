package org.marjoramgw.load.experiment;

import java.util.List;
import java.util.Map;

/**
 * Experiment: a deployment under a sequence of load phases, with injected faults.
 *
 * @param name name of the experiment
 * @param deployment the deployment
 * @param seed seed of the random number generators
 * @param windowMillis length of a measurement window, in milliseconds
 * @param minWindowRequests minimum number of requests of a class in a window for the
 * window to count
 * @param settleMillis maximum wait for open requests after the last arrival, in
 * milliseconds
 * @param measureDirect whether to also call the engines directly, to determine the
 * latency that the router adds
 * @param limitOverrides overridden keys of the configuration's {@code limits}
 * @param classOverrides overridden keys of the configuration's {@code classes}, by class
 * @param engineOverrides overridden settings of the engine stand-ins
 * @param processOverrides overridden settings of entries and side processes
 * @param phases the phases in order
 * @param faults the faults
 * @author The marjoramgw authors
 */
public record Experiment(String name, DeploymentDescription deployment, long seed, long windowMillis,
		int minWindowRequests, long settleMillis, boolean measureDirect, Map<String, Object> limitOverrides,
		Map<String, Object> classOverrides, Map<String, Object> engineOverrides, Map<String, Object> processOverrides,
		List<Phase> phases, List<Fault> faults) {

	/**
	 * Returns the total duration of all phases.
	 * @return the duration, in milliseconds
	 */
	public long durationMillis() {
		return this.phases.stream().mapToLong(Phase::durationMillis).sum();
	}

	/**
	 * Returns a copy of this experiment with another seed.
	 * @param newSeed the seed
	 * @return the copy
	 */
	public Experiment withSeed(long newSeed) {
		return new Experiment(this.name, this.deployment, newSeed, this.windowMillis, this.minWindowRequests,
				this.settleMillis, this.measureDirect, this.limitOverrides, this.classOverrides, this.engineOverrides,
				this.processOverrides, this.phases, this.faults);
	}

	/**
	 * Returns a copy of this experiment with other overrides of limits.
	 * @param newLimits the overridden limits, by key
	 * @return the copy
	 */
	public Experiment withLimitOverrides(Map<String, Object> newLimits) {
		return new Experiment(this.name, this.deployment, this.seed, this.windowMillis, this.minWindowRequests,
				this.settleMillis, this.measureDirect, newLimits, this.classOverrides, this.engineOverrides,
				this.processOverrides, this.phases, this.faults);
	}

	/**
	 * Returns a copy of this experiment with other phases.
	 * @param newPhases the phases in order
	 * @return the copy
	 */
	public Experiment withPhases(List<Phase> newPhases) {
		return new Experiment(this.name, this.deployment, this.seed, this.windowMillis, this.minWindowRequests,
				this.settleMillis, this.measureDirect, this.limitOverrides, this.classOverrides, this.engineOverrides,
				this.processOverrides, newPhases, this.faults);
	}

}
