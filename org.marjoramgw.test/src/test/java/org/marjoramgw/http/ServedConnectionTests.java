package org.marjoramgw.http;

import java.util.Optional;

import com.typesafe.config.ConfigFactory;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link ServedConnection}.
 *
 * @author The marjoramgw authors
 */
public class ServedConnectionTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Longest time that common HTTP clients keep a connection without a request. */
	private static final long CLIENT_IDLE_MILLIS = 60_000;

	private long nowNanos;

	/**
	 * Guards against a request that is lost since the server closes the connection at the
	 * moment at which the client sends it.
	 */
	@Test
	public void clientsCloseAnIdleConnectionBeforeTheServerDoes() {
		MemoryBudget budget = new MemoryBudget(64 << 20, () -> this.nowNanos);
		ServedConnection connection = new ServedConnection(CallerSettings.defaults(), budget, "client");
		this.nowNanos += (CLIENT_IDLE_MILLIS + 1_000) * NANOS_PER_MILLI;
		Assert.assertEquals(connection.closeReason(this.nowNanos), Optional.empty());
		this.nowNanos += CLIENT_IDLE_MILLIS * NANOS_PER_MILLI;
		Assert.assertEquals(connection.closeReason(this.nowNanos), Optional.of(CloseReason.IDLE));
	}

	@Test
	public void ownClientsCloseAnIdleConnectionFirst() {
		long keepMillis = ConfigFactory.load("application")
			.getDuration("pekko.http.host-connection-pool.keep-alive-timeout")
			.toMillis();
		Assert.assertTrue(keepMillis < CallerSettings.defaults().idleTimeoutMillis(), keepMillis + " ms");
	}

}
