package org.marjoramgw.load;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.load.measure.ExperimentRunner;

/**
 * Actor system of the load tool. Its HTTP connection limits are high enough not to delay
 * arrivals.
 *
 * @author The marjoramgw authors
 */
final class LoadActorSystem implements AutoCloseable {

	private static final String CLIENT_SETTINGS = """
			pekko.http.host-connection-pool.max-connections = 4096
			pekko.http.host-connection-pool.max-open-requests = 8192
			pekko.http.host-connection-pool.max-retries = 0
			pekko.http.host-connection-pool.idle-timeout = 300 s
			pekko.http.client.idle-timeout = 300 s
			pekko.actor.default-dispatcher.fork-join-executor.parallelism-max = 4
			""";

	private final ActorSystem<Void> system;

	/**
	 * Starts the system.
	 */
	LoadActorSystem() {
		Config config = ConfigFactory.parseString(CLIENT_SETTINGS).withFallback(ConfigFactory.load());
		this.system = ActorSystem.create(Behaviors.empty(), "load", config);
	}

	ActorSystem<Void> system() {
		return this.system;
	}

	ExperimentRunner newRunner() {
		return new ExperimentRunner(this.system, new SystemMillisClock());
	}

	@Override
	public void close() {
		this.system.terminate();
	}

}
