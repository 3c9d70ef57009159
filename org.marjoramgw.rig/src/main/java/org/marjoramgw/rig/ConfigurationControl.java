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
 * Publisher of a deployment's configuration that can wait until it is in force.
 *
 * @author The marjoramgw authors
 */
final class ConfigurationControl {

	private static final long CALL_TIMEOUT_MILLIS = 5_000;

	/** A deployment publishes while all its processes start beside those of others. */
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
		HttpLogService service = new HttpLogService(new BlockingHttpClient(this.system, PUBLISH_TIMEOUT_MILLIS, ""),
				"http://" + log);
		ConfigurationPublisher publisher = new ConfigurationPublisher(service, new SystemMillisClock(),
				PUBLISH_TIMEOUT_MILLIS);
		try {
			PublishResult verdict = publisher.publish(text, this.revision, OPERATOR);
			if (!(verdict instanceof PublishResult.Accepted accepted)) {
				throw new RigException("configuration isn't accepted: " + verdict, null);
			}
			this.revision = accepted.revision();
		}
		catch (LogUnavailableException ex) {
			throw new RigException("configuration can't be published", ex);
		}
	}

	void awaitInForce(Collection<ManagedProcess> processes) throws RigException {
		BlockingHttpClient operator = new BlockingHttpClient(this.system, CALL_TIMEOUT_MILLIS,
				Deployment.OPERATOR_TOKEN);
		long deadlineNanos = System.nanoTime() + IN_FORCE_TIMEOUT_MILLIS * 1_000_000;
		for (ManagedProcess process : processes) {
			while (revisionOf(process, operator) < this.revision) {
				if (System.nanoTime() > deadlineNanos) {
					throw new RigException("revision " + this.revision + " isn't in force at " + process.name(), null);
				}
				Polling.pause();
			}
		}
	}

	private static long revisionOf(ManagedProcess process, BlockingHttpClient operator) {
		try {
			String body = operator.get("http://" + process.address("http") + "/operator/status").body();
			return MAPPER.readValue(body, ProcessReport.class).status().configRevision();
		}
		catch (HttpCallException | JsonProcessingException ex) {
			return -1;
		}
	}

}
