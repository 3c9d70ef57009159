package org.marjoramgw.load.capacity;

import java.util.List;
import java.util.Map;

import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.config.ConfigurationPublisher;
import org.marjoramgw.config.PublishResult;
import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.log.HttpLogService;
import org.marjoramgw.rig.BackendPlan;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.DeploymentPlan;
import org.marjoramgw.rig.EntryPlan;
import org.marjoramgw.rig.RigException;
import org.marjoramgw.rig.StandinProcess;
import org.marjoramgw.transport.PekkoTransport;
import org.marjoramgw.transport.Transport;
import org.marjoramgw.wire.MessageCodec;

/**
 * Starts deployments, creates clients and publishes configurations for the measurements.
 *
 * @author The marjoramgw authors
 */
final class MeasurementContext {

	static final String SIDE_ID = "side-1";

	static final String ENTRY_ID = "entry-1";

	static final String FAILURE_DOMAIN = "dal-a";

	private static final int BUFFER_FRAMES = 16_384;

	private static final long HTTP_TIMEOUT_MILLIS = 5_000;

	private static final long PUBLISH_TIMEOUT_MILLIS = 10_000;

	private static final Map<String, Map<String, Object>> STANDIN_SETTINGS = Map.of("log",
			Map.of("appends_per_second", 1_000_000, "burst_count", 1_000_000), "vmlist", Map.of("lag_ms", 0));

	private final ActorSystem<?> system;

	private final MessageCodec codec = new MessageCodec();

	MeasurementContext(ActorSystem<?> system) {
		this.system = system;
	}

	ActorSystem<?> system() {
		return this.system;
	}

	Transport newTransport() {
		return new PekkoTransport(this.system, this.codec, MessageCodec.MAX_FRAME_BYTES, BUFFER_FRAMES);
	}

	TrafficCounter newTrafficCounter() {
		return new TrafficCounter(this.codec);
	}

	BlockingHttpClient newHttpClient() {
		return new BlockingHttpClient(this.system, HTTP_TIMEOUT_MILLIS, "");
	}

	/**
	 * Starts one side process with its backend server, without entries.
	 * @param kind kind of the backend server
	 * @return the deployment
	 * @throws RigException if the deployment doesn't start
	 */
	Deployment startSide(ServiceKind kind) throws RigException {
		String pool = (kind == ServiceKind.MODEL) ? CapacityConfiguration.POOL : CapacityConfiguration.PLAIN_POOL;
		return start(List.of(), List.of(new BackendPlan(SIDE_ID, kind, pool, FAILURE_DOMAIN, Map.of())), 24);
	}

	/**
	 * Starts one entry without backend servers.
	 * @param subsetCount number of side processes that the entry connects to
	 * @return the deployment
	 * @throws RigException if the deployment doesn't start
	 */
	Deployment startEntry(int subsetCount) throws RigException {
		return start(List.of(new EntryPlan(ENTRY_ID, FAILURE_DOMAIN)), List.of(), subsetCount);
	}

	Deployment start(List<EntryPlan> entries, List<BackendPlan> backends, int subsetCount) throws RigException {
		DeploymentPlan plan = new DeploymentPlan(entries, backends, CapacityConfiguration.render(subsetCount))
			.withStandinSettings(STANDIN_SETTINGS);
		return Deployment.start(plan, this.system);
	}

	long publish(Deployment deployment, long baseRevision, int subsetCount) throws RigException {
		HttpLogService log = new HttpLogService(newHttpClient(),
				"http://" + deployment.standins().address(StandinProcess.LOG));
		ConfigurationPublisher publisher = new ConfigurationPublisher(log, new SystemMillisClock(),
				PUBLISH_TIMEOUT_MILLIS);
		try {
			PublishResult result = publisher.publish(CapacityConfiguration.render(subsetCount), baseRevision,
					"capacity");
			if (result instanceof PublishResult.Accepted accepted) {
				return accepted.revision();
			}
			throw new RigException("publishing the configuration failed: " + result, null);
		}
		catch (LogUnavailableException ex) {
			throw new RigException("publishing the configuration failed", ex);
		}
	}

}
