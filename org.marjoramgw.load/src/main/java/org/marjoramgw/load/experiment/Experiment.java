package org.marjoramgw.load.experiment;

import java.util.List;
import java.util.Map;

/**
 * Experiment: a deployment under phases of load, with faults.
 *
 * @param name its name
 * @param deployment the deployment
 * @param seed seed of all random choices
 * @param windowMillis length of a window for the worst-window figures, in milliseconds
 * @param minWindowRequests least number of requests of a class in a window that counts
 * @param settleMillis longest wait for open answers after the last arrival, in
 * milliseconds
 * @param measureDirect whether engines are also called directly, to tell the latency that
 * the router adds
 * @param limitOverrides keys of the configuration's {@code limits} that are replaced
 * @param classOverrides keys of the configuration's {@code classes} that are replaced, by
 * class
 * @param engineOverrides settings of the engine stand-ins that are replaced
 * @param processOverrides settings of entries and side processes that are replaced
 * @param phases the phases in order
 * @param faults the faults
 * @author The marjoramgw authors
 */
public record Experiment(String name, DeploymentDescription deployment, long seed, long windowMillis,
		int minWindowRequests, long settleMillis, boolean measureDirect, Map<String, Object> limitOverrides,
		Map<String, Object> classOverrides, Map<String, Object> engineOverrides, Map<String, Object> processOverrides,
		List<Phase> phases, List<Fault> faults) {

	/**
	 * Returns the length of all phases.
	 * @return the length, in milliseconds
	 */
	public long durationMillis() {
		return this.phases.stream().mapToLong(Phase::durationMillis).sum();
	}

	/**
	 * Replaces the seed.
	 * @param newSeed the seed
	 * @return the changed experiment
	 */
	public Experiment withSeed(long newSeed) {
		return new Experiment(this.name, this.deployment, newSeed, this.windowMillis, this.minWindowRequests,
				this.settleMillis, this.measureDirect, this.limitOverrides, this.classOverrides, this.engineOverrides,
				this.processOverrides, this.phases, this.faults);
	}

	/**
	 * Replaces the limits.
	 * @param newLimits the limits by key
	 * @return the changed experiment
	 */
	public Experiment withLimitOverrides(Map<String, Object> newLimits) {
		return new Experiment(this.name, this.deployment, this.seed, this.windowMillis, this.minWindowRequests,
				this.settleMillis, this.measureDirect, newLimits, this.classOverrides, this.engineOverrides,
				this.processOverrides, this.phases, this.faults);
	}

	/**
	 * Replaces the phases.
	 * @param newPhases the phases in order
	 * @return the changed experiment
	 */
	public Experiment withPhases(List<Phase> newPhases) {
		return new Experiment(this.name, this.deployment, this.seed, this.windowMillis, this.minWindowRequests,
				this.settleMillis, this.measureDirect, this.limitOverrides, this.classOverrides, this.engineOverrides,
				this.processOverrides, newPhases, this.faults);
	}

}
