package org.marjoramgw.load.measure;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import org.HdrHistogram.Histogram;
import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.load.arrival.Arrival;
import org.marjoramgw.load.arrival.ArrivalSchedule;
import org.marjoramgw.load.driver.FaultScheduler;
import org.marjoramgw.load.driver.LoadDriver;
import org.marjoramgw.load.driver.RequestRecord;
import org.marjoramgw.load.experiment.ConfigurationText;
import org.marjoramgw.load.experiment.Experiment;
import org.marjoramgw.rig.BackendPlan;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.RequestClient;
import org.marjoramgw.rig.RigException;

/**
 * Runs experiments: starts the deployment, generates the load and measures the results.
 *
 * @author The marjoramgw authors
 */
public final class ExperimentRunner {

	private static final long BODY_TIMEOUT_MILLIS = 180_000;

	private static final long WARM_UP_MILLIS = 2_000;

	private static final long WARM_UP_SETTLE_MILLIS = 10_000;

	private static final int WARM_UP_MAX_TOKENS = 20;

	private static final long START_DELAY_MILLIS = 200;

	private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;

	private final ActorSystem<?> system;

	private final MillisClock clock;

	/**
	 * Creates a runner.
	 * @param system actor system that runs the HTTP clients
	 * @param clock the clock
	 */
	public ExperimentRunner(ActorSystem<?> system, MillisClock clock) {
		this.system = system;
		this.clock = clock;
	}

	/**
	 * Creates the deployment plan of an experiment.
	 * @param experiment the experiment
	 * @return the processes to start and their settings
	 * @throws IOException if the configuration text can't be read
	 */
	public DeploymentPlan plan(Experiment experiment) throws IOException {
		List<BackendPlan> backends = new ArrayList<>();
		for (BackendPlan backend : experiment.deployment().backends()) {
			Map<String, Object> options = new LinkedHashMap<>(backend.options());
			if (backend.kind() == ServiceKind.MODEL) {
				options.putAll(experiment.engineOverrides());
			}
			backends
				.add(new BackendPlan(backend.name(), backend.kind(), backend.pool(), backend.failureDomain(), options));
		}
		return new DeploymentPlan(experiment.deployment().entries(), backends,
				new ConfigurationText().render(experiment))
			.withProcessSettings(experiment.processOverrides());
	}

	/**
	 * Runs an experiment on a newly started deployment.
	 * @param experiment the experiment
	 * @return the measures
	 * @throws IOException if the configuration text can't be read
	 * @throws InvalidTomlException if the configuration text is invalid
	 * @throws RigException if the deployment can't be started or controlled
	 * @throws InterruptedException if the thread is interrupted
	 */
	public ExperimentResult run(Experiment experiment)
			throws IOException, InvalidTomlException, RigException, InterruptedException {
		try (Deployment deployment = Deployment.start(plan(experiment), this.system)) {
			return run(experiment, deployment);
		}
	}

	/**
	 * Runs an experiment on a running deployment that has already applied the
	 * configuration of the experiment.
	 * @param experiment the experiment
	 * @param deployment the deployment
	 * @return the measures
	 * @throws IOException if the configuration text can't be read
	 * @throws InvalidTomlException if the configuration text is invalid
	 * @throws RigException if the deployment can't be controlled
	 * @throws InterruptedException if the thread is interrupted
	 */
	public ExperimentResult run(Experiment experiment, Deployment deployment)
			throws IOException, InvalidTomlException, RigException, InterruptedException {
		String text = new ConfigurationText().render(experiment);
		Configuration configuration = new ConfigurationParser().parse(experiment.name(), 1, text);
		RequestClient caller = new RequestClient(this.system, BODY_TIMEOUT_MILLIS);
		List<HostPort> entries = deployment.entries().stream().map((entry) -> entry.address("http")).toList();
		List<Arrival> arrivals = generateArrivals(experiment, configuration);
		Set<String> warmUpRequestIds = warmUp(arrivals, caller, entries);
		CounterReader entryCounters = new CounterReader(deployment.standins(), deployment.entries());
		CounterReader sideCounters = new CounterReader(deployment.standins(), deployment.sides());
		try (LoadDriver driver = new LoadDriver(this.clock, caller, entries, false);
				FaultScheduler faults = new FaultScheduler(deployment.standins())) {
			long startMillis = this.clock.nowMillis() + START_DELAY_MILLIS;
			StealTime stealTime = new StealTime(StealTime.PROC_STAT);
			faults.schedule(experiment.faults());
			List<RequestRecord> requests = driver.run(arrivals, startMillis, experiment.settleMillis());
			double stolenPercent = stealTime.percentSinceCreation();
			List<EngineExecution> executions = readExecutions(deployment, startMillis, warmUpRequestIds);
			ResultBuilder builder = new ResultBuilder(experiment, configuration, arrivals, requests, startMillis);
			List<ClassResult> classes = builder.classResults(driver.gaps(), executions, this.clock.nowMillis());
			Percentiles directFirstToken = experiment.measureDirect()
					? measureDirectCalls(experiment, deployment, arrivals, caller) : null;
			return new ExperimentResult(experiment.name(), experiment.deployment().name(), experiment.seed(),
					experiment.limitOverrides(), experiment.windowMillis(), experiment.minWindowRequests(),
					experiment.durationMillis(), ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
					stolenPercent, classes, builder.accountResults(), builder.workResult(executions),
					countErrorCodes(requests), entryCounters.sinceCreation(), sideCounters.sinceCreation(),
					requests.stream().filter(RequestRecord::misdelivered).count(), builder.windowResults(),
					directFirstToken);
		}
	}

	private List<Arrival> generateArrivals(Experiment experiment, Configuration configuration) {
		Map<String, Integer> weights = new TreeMap<>();
		for (ClientAccount account : configuration.accounts().values()) {
			weights.put(account.name(), account.weight());
		}
		return new ArrivalSchedule(experiment, weights).generate();
	}

	private Set<String> warmUp(List<Arrival> arrivals, RequestClient caller, List<HostPort> entries)
			throws InterruptedException {
		// Not measured; makes the processes load their code before the first phase
		// starts. Responses are short because a long one would still hold its slot then.
		List<Arrival> firstArrivals = arrivals.stream()
			.filter((arrival) -> arrival.offsetMillis() < WARM_UP_MILLIS)
			.toList();
		List<Arrival> warmUpArrivals = firstArrivals.stream()
			.map((arrival) -> copyWithSuffix(arrival, "-warm", WARM_UP_MAX_TOKENS))
			.toList();
		try (LoadDriver driver = new LoadDriver(this.clock, caller, entries, false)) {
			List<RequestRecord> requests = driver.run(warmUpArrivals, this.clock.nowMillis(), WARM_UP_SETTLE_MILLIS);
			return requests.stream().map(RequestRecord::requestId).collect(Collectors.toSet());
		}
	}

	private Percentiles measureDirectCalls(Experiment experiment, Deployment deployment, List<Arrival> arrivals,
			RequestClient caller) throws InterruptedException {
		List<HostPort> engineAddresses = experiment.deployment()
			.backends()
			.stream()
			.filter((backend) -> backend.kind() == ServiceKind.MODEL)
			.map((backend) -> deployment.standins().address(backend.standinName()))
			.toList();
		List<Arrival> directArrivals = arrivals.stream()
			.filter((arrival) -> arrival.load().isChat())
			.map((arrival) -> copyWithSuffix(arrival, "-direct", arrival.responseTokens()))
			.toList();
		Histogram histogram = new Histogram(HISTOGRAM_SIGNIFICANT_DIGITS);
		try (LoadDriver driver = new LoadDriver(this.clock, caller, engineAddresses, true)) {
			driver.run(directArrivals, this.clock.nowMillis() + START_DELAY_MILLIS, experiment.settleMillis())
				.stream()
				.filter((request) -> request.firstTokenMillis() >= 0)
				.forEach((request) -> histogram.recordValue(request.firstTokenMillis()));
		}
		return Percentiles.of(histogram);
	}

	private static Arrival copyWithSuffix(Arrival arrival, String suffix, int maxTokens) {
		int tokens = Math.min(arrival.responseTokens(), maxTokens);
		return new Arrival(arrival.offsetMillis(), arrival.load(), arrival.account(), tokens, arrival.id() + suffix);
	}

	private static List<EngineExecution> readExecutions(Deployment deployment, long startMillis,
			Set<String> excludedRequestIds) throws RigException {
		List<EngineExecution> executions = new ArrayList<>();
		for (BackendPlan backend : deployment.plan().backends()) {
			if (backend.kind() == ServiceKind.MODEL) {
				for (JsonNode node : deployment.standins().executions(backend.standinName())) {
					executions.add(EngineExecution.of(node));
				}
			}
		}
		executions.removeIf((execution) -> execution.startedMillis() < startMillis);
		executions.removeIf((execution) -> excludedRequestIds.contains(execution.requestId()));
		executions.sort(Comparator.comparingLong(EngineExecution::startedMillis));
		return executions;
	}

	private static Map<Integer, Long> countErrorCodes(List<RequestRecord> requests) {
		Map<Integer, Long> codes = new TreeMap<>();
		requests.stream()
			.filter((request) -> !request.complete())
			.forEach((request) -> codes.merge(request.errorCode(), 1L, Long::sum));
		return codes;
	}

}
