package org.marjoramgw.http;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.HostPort;
import org.marjoramgw.standin.StandinSystem;
import org.testng.Assert;

/**
 * Fixture for tests of HTTP clients: an actor system for the client, and a separate one
 * for the stand-in servers that it calls.
 *
 * @author The marjoramgw authors
 */
public final class HttpFixture implements AutoCloseable {

	/** Loopback address that binds to any free port. */
	public static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

	/** Timeout of each call of the clients. */
	public static final long TIMEOUT_MILLIS = 1_000;

	private static final long WARM_UP_TIMEOUT_MILLIS = 30_000;

	private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "http-test");

	private final StandinSystem standins = new StandinSystem();

	/**
	 * Returns the actor system of the stand-in servers.
	 * @return the shared system of the stand-ins
	 */
	public StandinSystem standins() {
		return this.standins;
	}

	/**
	 * Creates a client.
	 * @return a client with no open connections
	 */
	public BlockingHttpClient newClient() {
		return new BlockingHttpClient(this.system, TIMEOUT_MILLIS, "");
	}

	/**
	 * Calls a server once with a long timeout, so that class loading doesn't make the
	 * test's own calls time out.
	 * @param uri URI for a GET request
	 * @throws Exception if the call fails
	 */
	public void warmUp(String uri) throws Exception {
		Assert.assertTrue(new BlockingHttpClient(this.system, WARM_UP_TIMEOUT_MILLIS, "").get(uri).isOk());
	}

	@Override
	public void close() {
		this.system.terminate();
		this.standins.close();
	}

}
