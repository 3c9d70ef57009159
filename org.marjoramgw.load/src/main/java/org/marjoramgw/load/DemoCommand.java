package org.marjoramgw.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.load.experiment.Experiment;
import org.marjoramgw.load.experiment.ExperimentParser;
import org.marjoramgw.load.experiment.Phase;
import org.marjoramgw.load.measure.ExperimentRunner;
import org.marjoramgw.load.report.ResultTable;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.JavaCommand;
import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.rig.RigException;

/**
 * Subcommand {@code demo}: starts an example deployment on the loopback interface, sends
 * a mixed load of all request classes and prints the measured results.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Start an example deployment, send mixed load and stop it again")
final class DemoCommand extends LoadCommand {

	private static final long SECOND_MILLIS = 1_000;

	private static final int MAX_SECONDS = 300;

	@Parameter(names = "--deployment", description = "Example deployment: rogac or petalbook")
	private String deployment = "rogac";

	@Parameter(names = "--seconds", description = "Length of the load, in seconds")
	private int seconds = 20;

	@Parameter(names = "--keep", description = "Leave the deployment running until Ctrl-C")
	private boolean keep;

	@Override
	public void run() throws IOException, InvalidTomlException, RigException, InterruptedException {
		Experiment experiment = parseExperiment();
		try (LoadActorSystem system = new LoadActorSystem()) {
			ExperimentRunner runner = system.newRunner();
			System.out.println("starting " + this.deployment + " on loopback");
			try (Deployment running = Deployment.start(runner.plan(experiment), system.system())) {
				printAddresses(running);
				System.out.println("sending mixed load for " + this.seconds + " s");
				System.out.print(new ResultTable().render(runner.run(experiment, running)));
				if (this.keep) {
					keepRunning(running, experiment);
				}
			}
			System.out.println("stopped");
		}
	}

	private Experiment parseExperiment() throws RigException, InvalidTomlException {
		Path experiments = new JavaCommand().repositoryRoot().resolve("experiments");
		Path file = experiments.resolve("demo-" + this.deployment + ".toml");
		if (!this.deployment.matches("[a-z]+") || !Files.isRegularFile(file)) {
			throw new ParameterException("--deployment must be rogac or petalbook, not " + this.deployment);
		}
		if (this.seconds < 1 || this.seconds > MAX_SECONDS) {
			throw new ParameterException("--seconds must be 1 to " + MAX_SECONDS);
		}
		Experiment experiment = new ExperimentParser().parse(file);
		Phase first = experiment.phases().get(0);
		Phase phase = new Phase(first.name(), this.seconds * SECOND_MILLIS, first.loadPercent(), Map.of(), "", 0);
		return experiment.withPhases(List.of(phase));
	}

	private static void printAddresses(Deployment running) {
		for (ManagedProcess entry : running.entries()) {
			System.out.println("  " + entry.name() + " http://" + entry.address("http"));
		}
		for (ManagedProcess side : running.sides()) {
			System.out.println("  " + side.name() + " http://" + side.address("http"));
		}
	}

	private static void keepRunning(Deployment running, Experiment experiment)
			throws IOException, RigException, InterruptedException {
		Path directory = new JavaCommand().repositoryRoot().resolve("target").resolve("demo");
		try (DemoFiles files = new DemoFiles(directory, running)) {
			printExamples(running, experiment);
			new CountDownLatch(1).await();
		}
	}

	private static void printExamples(Deployment running, Experiment experiment) {
		ManagedProcess entry = running.entries().iterator().next();
		String model = experiment.deployment()
			.loadsByClass()
			.values()
			.stream()
			.filter((load) -> load.isChat())
			.findFirst()
			.orElseThrow()
			.model();
		String account = experiment.deployment().name().equals("rogac") ? "coop-large" : "bloom-large";
		System.out.println("running until Ctrl-C; for example:");
		System.out.println(
				"  curl -N http://" + entry.address("http") + "/v1/chat/completions" + " -H 'Authorization: Bearer key-"
						+ account + "' -H 'Content-Type: application/json'" + " -d '{\"model\":\"" + model
						+ "\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"len=20 hello\"}]}'");
		System.out.println("  curl http://" + entry.address("http") + "/metrics");
		System.out.println("  bin/marjoramgw status --config target/demo/operator.toml");
	}

}
