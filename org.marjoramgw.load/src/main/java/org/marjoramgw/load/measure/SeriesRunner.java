package org.marjoramgw.load.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.load.experiment.ConfigurationText;
import org.marjoramgw.load.experiment.Experiment;
import org.marjoramgw.load.experiment.Phase;
import org.marjoramgw.load.experiment.Series;
import org.marjoramgw.load.experiment.Variant;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.RigException;

/**
 * Runs series. All runs share one deployment, and variants are switched by publishing
 * their configurations, so that every run has warmed-up processes on the same machine.
 *
 * @author The marjoramgw authors
 */
public final class SeriesRunner {

	private static final long WARM_UP_MILLIS = 8_000;

	private static final int WARM_UP_PERCENT = 200;

	private final ExperimentRunner runner;

	private final ActorSystem<?> system;

	/**
	 * Creates a runner.
	 * @param runner runner of the individual experiments
	 * @param system actor system that runs the HTTP clients
	 */
	public SeriesRunner(ExperimentRunner runner, ActorSystem<?> system) {
		this.runner = runner;
		this.system = system;
	}

	/**
	 * Runs a series.
	 * @param series the series
	 * @param listener receives the result of each run
	 * @throws IOException if a configuration text can't be read
	 * @throws InvalidTomlException if a configuration text is invalid
	 * @throws RigException if the deployment can't be started or controlled
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void run(Series series, Consumer<SeriesRun> listener)
			throws IOException, InvalidTomlException, RigException, InterruptedException {
		Experiment first = series.experiments().get(0);
		try (Deployment deployment = Deployment.start(this.runner.plan(first), this.system)) {
			warmUp(first, deployment);
			for (int number = 0; number < series.seedCount(); number++) {
				int seed = series.firstSeed() + number;
				for (Experiment experiment : series.experiments()) {
					for (Variant variant : rotate(series.variants(), seed)) {
						listener.accept(run(experiment.withSeed(seed), variant, deployment));
					}
				}
			}
		}
	}

	/**
	 * Returns the variants in their order for a seed. Successive seeds start with
	 * different variants, so that no variant is always the first.
	 * @param variants the variants
	 * @param seed the seed
	 * @return the variants in the order of their runs
	 */
	static List<Variant> rotate(List<Variant> variants, int seed) {
		List<Variant> rotated = new ArrayList<>(variants);
		Collections.rotate(rotated, 1 - seed);
		return rotated;
	}

	private void warmUp(Experiment experiment, Deployment deployment)
			throws IOException, InvalidTomlException, RigException, InterruptedException {
		// The result is discarded. Without the warm-up, the first variant would run on
		// code that isn't loaded and compiled yet. The load exceeds the capacity because
		// refusals, retries and preemptions have their own code paths.
		Phase phase = new Phase("warm-up", WARM_UP_MILLIS, WARM_UP_PERCENT, Map.of(), "", 0);
		this.runner.run(experiment.withPhases(List.of(phase)), deployment);
	}

	private SeriesRun run(Experiment experiment, Variant variant, Deployment deployment)
			throws IOException, InvalidTomlException, RigException, InterruptedException {
		Map<String, Object> limits = new LinkedHashMap<>(experiment.limitOverrides());
		limits.putAll(variant.limitOverrides());
		Experiment variantExperiment = experiment.withLimitOverrides(limits);
		deployment.publish(new ConfigurationText().render(variantExperiment));
		return new SeriesRun(variant.name(), this.runner.run(variantExperiment, deployment));
	}

}
