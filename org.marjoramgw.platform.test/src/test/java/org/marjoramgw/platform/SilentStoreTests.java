package org.marjoramgw.platform;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.program.Pause;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests entry processes whose open connections to the store go silent, while new ones
 * work.
 *
 * @author The marjoramgw authors
 */
public class SilentStoreTests {

	private static final int GRACE_SECONDS = 1;

	/** Time in which a change is in force everywhere, in milliseconds. */
	private static final int APPLY_MILLIS = 2_000;

	/** Time after a fault of the network in which its effects end, in milliseconds. */
	private static final int CONTACT_MILLIS = 3_000;

	/** Time after that in which requests are sent, in milliseconds. */
	private static final int SENDING_MILLIS = 1_500;

	private static final int POLL_MILLIS = 50;

	private RestorableStore store;

	private ScriptedServer leaving;

	private ScriptedServer staying;

	@BeforeMethod
	public void start() throws IOException {
		this.store = new RestorableStore();
		this.leaving = new ScriptedServer(ScriptedServer::respondGood);
		this.staying = new ScriptedServer(ScriptedServer::respondGood);
		FixtureRecords.registrations(this.leaving, this.staying)
			.forEach((registration) -> this.store.append(StoreClient.SERVERS_TOPIC, registration));
		write(1);
	}

	@AfterMethod
	public void stop() throws IOException {
		this.leaving.close();
		this.staying.close();
		this.store.close();
	}

	/**
	 * Guards against a refusal by a configuration that was confirmed before a change,
	 * while a connection to the store is silent.
	 */
	@Test
	public void silentReadDoesNotProlongRefusals() throws Exception {
		try (StartedEntry entry = new StartedEntry(this.store.address(), GRACE_SECONDS)) {
			entry.awaitReady();
			this.store.awaitRead(StoreClient.OPERATOR_TOPIC);
			this.store.silenceConnections();
			write(2);
			long writtenNanos = System.nanoTime();
			String status = "";
			for (long ageMillis = 0; ageMillis < APPLY_MILLIS * 2; ageMillis = millisSince(writtenNanos)) {
				status = entry.status("/v2/1");
				Assert.assertFalse(ageMillis > APPLY_MILLIS && status.endsWith("404"), "refused after " + ageMillis);
				Pause.millis(POLL_MILLIS);
			}
			Assert.assertTrue(status.endsWith("200"), status);
		}
	}

	/**
	 * Guards against requests to a server that has left while nobody noticed that the
	 * list of servers isn't read any more.
	 */
	@Test
	public void serverThatLeftDuringASilentReadGetsNoRequests() throws Exception {
		try (StartedEntry entry = new StartedEntry(this.store.address(), GRACE_SECONDS)) {
			entry.awaitReady();
			// The first may be one of those that a process sends when it becomes ready.
			this.store.awaitRead(StoreClient.SERVERS_TOPIC);
			this.store.awaitRead(StoreClient.SERVERS_TOPIC);
			this.store.silenceConnections();
			this.store.append(StoreClient.SERVERS_TOPIC, new KeyedRecord("i-0", Optional.empty(), 0));
			Pause.millis(CONTACT_MILLIS);
			List<String> before = List.copyOf(this.leaving.requests());
			long startNanos = System.nanoTime();
			while (millisSince(startNanos) < SENDING_MILLIS) {
				entry.status("/v1/1");
			}
			Assert.assertEquals(this.leaving.requests(), before, entry.output());
		}
	}

	/**
	 * Guards against keys that are refused after the effects of the fault have to end,
	 * since the next read waits before it confirms them.
	 */
	@Test
	public void keysAreAcceptedAfterASilentRead() throws Exception {
		try (StartedEntry entry = new StartedEntry(this.store.address(), GRACE_SECONDS)) {
			entry.awaitReady();
			// The first may be one of those that a process sends when it becomes ready.
			this.store.awaitRead(StoreClient.OPERATOR_TOPIC);
			this.store.awaitRead(StoreClient.OPERATOR_TOPIC);
			this.store.silenceConnections();
			Pause.millis(CONTACT_MILLIS);
			long startNanos = System.nanoTime();
			while (millisSince(startNanos) < SENDING_MILLIS) {
				String status = entry.status("/v1/1");
				Assert.assertTrue(status.endsWith("200"), status + ": " + entry.output());
			}
		}
	}

	private void write(int version) {
		this.store.append(StoreClient.OPERATOR_TOPIC, FixtureRecords.versionOfRoutes(version));
	}

	private static long millisSince(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
	}

}
