package org.marjoramgw.http;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.HostPort;
import org.marjoramgw.standin.StandinSystem;
import org.testng.Assert;

/**
 * What a test of an HTTP client needs: threads for the client and others for the server
 * that it calls.
 *
 * @author The marjoramgw authors
 */
public final class HttpFixture implements AutoCloseable {

	/** Any free port on loopback. */
	public static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);

	/** Timeout of each call. */
	public static final long TIMEOUT_MILLIS = 1_000;

	private static final long WARM_UP_TIMEOUT_MILLIS = 30_000;

	private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "http-test");

	private final StandinSystem standins = new StandinSystem();

	/**
	 * Returns the threads of the servers.
	 * @return the shared threads of the stand-ins
	 */
	public StandinSystem standins() {
		return this.standins;
	}

	/**
	 * Makes a client without connections.
	 * @return the client
	 */
	public BlockingHttpClient newClient() {
		return new BlockingHttpClient(this.system, TIMEOUT_MILLIS, "");
	}

	/**
	 * Calls a server once with patience, so that a test's own calls don't meet code that
	 * has still to be loaded.
	 * @param uri URI to get
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
