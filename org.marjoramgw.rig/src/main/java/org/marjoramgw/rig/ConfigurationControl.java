package org.marjoramgw.rig;

import java.util.Collection;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.HostPort;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.config.ConfigurationPublisher;
import org.marjoramgw.config.PublishResult;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.log.HttpLogService;
import org.marjoramgw.operator.OperatorJson;
import org.marjoramgw.operator.ProcessReport;

/**
 * Publishes the configuration of a deployment and waits until it is in force.
 *
 * @author The marjoramgw authors
 */
final class ConfigurationControl {

	private static final long CALL_TIMEOUT_MILLIS = 5_000;

	/**
	 * With 5 s, the first read of the log stand-in timed out while several deployments
	 * were starting their processes.
	 */
	private static final long PUBLISH_TIMEOUT_MILLIS = 20_000;

	private static final long IN_FORCE_TIMEOUT_MILLIS = 20_000;

	private static final String OPERATOR = "rig";

	private static final ObjectMapper MAPPER = OperatorJson.newMapper();

	private final ActorSystem<?> system;

	private long revision;

	ConfigurationControl(ActorSystem<?> system) {
		this.system = system;
	}

	void publish(HostPort log, String text) throws RigException {
		HttpLogService logService = new HttpLogService(new BlockingHttpClient(this.system, PUBLISH_TIMEOUT_MILLIS, ""),
				"http://" + log);
		ConfigurationPublisher publisher = new ConfigurationPublisher(logService, new SystemMillisClock(),
				PUBLISH_TIMEOUT_MILLIS);
		try {
			PublishResult result = publisher.publish(text, this.revision, OPERATOR);
			if (!(result instanceof PublishResult.Accepted accepted)) {
				throw new RigException("configuration was not accepted: " + result, null);
			}
			this.revision = accepted.revision();
		}
		catch (LogUnavailableException ex) {
			throw new RigException("cannot publish the configuration", ex);
		}
	}

	void awaitInForce(Collection<ManagedProcess> processes) throws RigException {
		BlockingHttpClient operatorClient = new BlockingHttpClient(this.system, CALL_TIMEOUT_MILLIS,
				Deployment.OPERATOR_TOKEN);
		long deadlineNanos = System.nanoTime() + IN_FORCE_TIMEOUT_MILLIS * 1_000_000;
		for (ManagedProcess process : processes) {
			while (revisionOf(process, operatorClient) < this.revision) {
				if (System.nanoTime() > deadlineNanos) {
					throw new RigException("revision " + this.revision + " is not in force at " + process.name(), null);
				}
				Polling.pause();
			}
		}
	}

	private static long revisionOf(ManagedProcess process, BlockingHttpClient operatorClient) {
		try {
			String body = operatorClient.get("http://" + process.address("http") + "/operator/status").body();
			return MAPPER.readValue(body, ProcessReport.class).status().configRevision();
		}
		catch (HttpCallException | JsonProcessingException ex) {
			return -1;
		}
	}

}
