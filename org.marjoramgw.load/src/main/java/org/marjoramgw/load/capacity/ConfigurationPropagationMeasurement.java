package org.marjoramgw.load.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.marjoramgw.HostPort;
import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.operator.OperatorJson;
import org.marjoramgw.operator.ProcessReport;
import org.marjoramgw.rig.BackendPlan;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.EntryPlan;
import org.marjoramgw.rig.ManagedProcess;
import org.marjoramgw.rig.RigException;

/**
 * Measures the time from publishing a configuration until all processes have applied it,
 * as a function of the number of processes. The processes are real, not fakes.
 *
 * @author The marjoramgw authors
 */
final class ConfigurationPropagationMeasurement implements Measurement {

	private static final int[] PROCESS_COUNTS = { 2, 4, 8 };

	private static final int TRIAL_COUNT = 5;

	private static final int SETTLE_MILLIS = 2_000;

	private static final long STATUS_TIMEOUT_MILLIS = 2_000;

	private static final List<String> FAILURE_DOMAINS = List.of("dal-a", "dal-b", "dal-c");

	private final MeasurementContext context;

	private final ObjectMapper mapper = OperatorJson.newMapper();

	private final BlockingHttpClient operatorClient;

	ConfigurationPropagationMeasurement(MeasurementContext run) {
		this.context = run;
		this.operatorClient = new BlockingHttpClient(run.system(), STATUS_TIMEOUT_MILLIS, Deployment.OPERATOR_TOKEN);
	}

	@Override
	public String title() {
		return "Time from a publish until the change is in force everywhere, real processes (half of them entries)";
	}

	@Override
	public String measure() throws IOException, RigException, InterruptedException {
		PointTable table = new PointTable("processes", "median ms", "longest ms");
		for (int processCount : PROCESS_COUNTS) {
			List<Double> propagationMillis = runTrials(processCount);
			propagationMillis.sort(null);
			table.add(processCount, propagationMillis.get(TRIAL_COUNT / 2), propagationMillis.get(TRIAL_COUNT - 1));
		}
		return table.toString();
	}

	private List<Double> runTrials(int processCount) throws IOException, RigException, InterruptedException {
		List<EntryPlan> entries = new ArrayList<>();
		List<BackendPlan> backends = new ArrayList<>();
		for (int index = 0; index < processCount / 2; index++) {
			String failureDomain = FAILURE_DOMAINS.get(index % FAILURE_DOMAINS.size());
			entries.add(new EntryPlan("entry-" + index, failureDomain));
			backends.add(new BackendPlan("side-" + index, ServiceKind.MODEL, CapacityConfiguration.POOL, failureDomain,
					Map.of()));
		}
		List<Double> propagationMillis = new ArrayList<>();
		try (Deployment deployment = this.context.start(entries, backends, 24)) {
			Thread.sleep(SETTLE_MILLIS);
			for (int trial = 0; trial < TRIAL_COUNT; trial++) {
				long startNanos = System.nanoTime();
				long revision = this.context.publish(deployment, trial + 1, 24);
				Await.until(() -> isApplied(deployment, revision), "revision " + revision);
				propagationMillis.add((System.nanoTime() - startNanos) / 1e6);
			}
		}
		return propagationMillis;
	}

	private boolean isApplied(Deployment deployment, long revision) {
		List<ManagedProcess> allProcesses = new ArrayList<>(deployment.entries());
		allProcesses.addAll(deployment.sides());
		return allProcesses.stream().allMatch((process) -> revisionOf(process.address("http")) >= revision);
	}

	private long revisionOf(HostPort address) {
		try {
			String body = this.operatorClient.get("http://" + address + "/operator/status").body();
			return this.mapper.readValue(body, ProcessReport.class).status().configRevision();
		}
		catch (HttpCallException | IOException ex) {
			return 0;
		}
	}

}
