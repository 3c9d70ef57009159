package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.program.Pause;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests entry processes whose store is restored from a copy while they follow it.
 *
 * @author The marjoramgw authors
 */
public class RestoredStoreTests {

	private static final int GRACE_SECONDS = 1;

	/** Time in which a change is in force everywhere, in milliseconds. */
	private static final int APPLY_MILLIS = 2_000;

	private static final int POLL_MILLIS = 50;

	private static final int READ_TIMEOUT_MILLIS = 4_000;

	private RestorableStore store;

	private ScriptedServer server;

	@BeforeMethod
	public void start() throws IOException {
		this.store = new RestorableStore();
		this.server = new ScriptedServer(ScriptedServer::respondGood);
		FixtureRecords.registrations(this.server)
			.forEach((registration) -> this.store.append(StoreClient.SERVERS_TOPIC, registration));
	}

	@AfterMethod
	public void stop() throws IOException {
		this.server.close();
		this.store.close();
	}

	/**
	 * Lists courses of a restoration.
	 * @return how long the store is away, in milliseconds, and the versions that the
	 * operator writes again and anew
	 */
	@DataProvider
	public Object[][] restorations() {
		return new Object[][] { { 100, List.of(10, 11, 12) }, { 600, List.of(10, 11, 12) },
				{ 100, List.of(10, 11, 12, 13) } };
	}

	/**
	 * Guards against a change that is skipped since its offset was read in another era.
	 */
	@Test(dataProvider = "restorations")
	public void changeAfterARestorationIsInForceInTime(int awayMillis, List<Integer> versions) throws Exception {
		for (int version = 1; version <= 7; version++) {
			write(version);
		}
		try (StartedEntry first = new StartedEntry(this.store.address(), GRACE_SECONDS);
				StartedEntry second = new StartedEntry(this.store.address(), GRACE_SECONDS)) {
			first.awaitReady();
			second.awaitReady();
			Map<String, List<KeyedRecord>> copy = this.store.copy();
			write(8);
			write(9);
			write(10);
			awaitServed(first, 10);
			awaitServed(second, 10);
			this.store.goAway();
			Pause.millis(awayMillis);
			this.store.restore(copy);
			versions.forEach(this::write);
			int last = versions.get(versions.size() - 1);
			awaitServed(first, last);
			awaitServed(second, last);
		}
	}

	/**
	 * Guards against a refusal by a configuration that was confirmed before a change,
	 * while a connection to the store is silent.
	 */
	@Test
	public void silentReadDoesNotProlongRefusals() throws Exception {
		write(1);
		try (StartedEntry entry = new StartedEntry(this.store.address(), GRACE_SECONDS)) {
			entry.awaitReady();
			awaitServed(entry, 1);
			this.store.awaitRead(StoreClient.OPERATOR_TOPIC);
			this.store.silenceWaitingReads();
			write(2);
			long writtenNanos = System.nanoTime();
			String status = "";
			for (long ageMillis = 0; ageMillis < APPLY_MILLIS * 2; ageMillis = millisSince(writtenNanos)) {
				status = status(entry, "/v2/1");
				Assert.assertFalse(ageMillis > APPLY_MILLIS && status.endsWith("404"), "refused after " + ageMillis);
				Pause.millis(POLL_MILLIS);
			}
			Assert.assertTrue(status.endsWith("200"), status);
		}
	}

	/**
	 * Guards against a process that takes a copy, which holds less than it knows, for the
	 * state of the store: it would refuse what a lost change has added.
	 */
	@Test
	public void olderCopyRejectsNothingForGood() throws Exception {
		write(1);
		write(2);
		try (StartedEntry entry = new StartedEntry(this.store.address(), GRACE_SECONDS)) {
			entry.awaitReady();
			Map<String, List<KeyedRecord>> copy = this.store.copy();
			write(3);
			awaitServed(entry, 3);
			this.store.goAway();
			this.store.restore(copy);
			// The last confirmation is too old for a refusal by then, but not for a key.
			Pause.millis(APPLY_MILLIS);
			Assert.assertTrue(status(entry, "/v3/1").endsWith("200"));
			Assert.assertTrue(status(entry, "/v4/1").endsWith("503"));
			write(3);
			write(4);
			awaitServed(entry, 4);
			Assert.assertTrue(status(entry, "/v5/1").endsWith("404"));
		}
	}

	private static long millisSince(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
	}

	private void write(int version) {
		StringBuilder routes = new StringBuilder();
		for (int route = 1; route <= version; route++) {
			routes.append((route > 1) ? "," : "")
				.append("{\"name\":\"r" + route + "\",\"host\":\"carob.example\",\"pathPrefix\":\"/v" + route
						+ "/\",\"kind\":\"idempotent\",\"timeoutMs\":1500,\"service\":\"s\",\"attempts\":2}");
		}
		String document = "{\"version\":" + version + ",\"routes\":[" + routes
				+ "],\"tenants\":[{\"name\":\"coop\",\"apiKeys\":[\"key-1\"]}]}";
		this.store.append(StoreClient.OPERATOR_TOPIC,
				new KeyedRecord(RoutingDocument.KEY, Optional.of(document.getBytes(StandardCharsets.UTF_8)), 0));
	}

	private static void awaitServed(StartedEntry entry, int version) throws IOException {
		String status = "";
		for (int waitedMillis = 0; waitedMillis <= APPLY_MILLIS; waitedMillis += POLL_MILLIS) {
			status = status(entry, "/v" + version + "/1");
			if (status.endsWith("200")) {
				return;
			}
			Pause.millis(POLL_MILLIS);
		}
		Assert.fail("version " + version + " isn't in force, last status " + status + ": "
				+ entry.output().lines().filter((line) -> line.contains(".direct.follow.")).toList());
	}

	private static String status(StartedEntry entry, String path) throws IOException {
		try (Socket caller = entry.connect()) {
			caller.setSoTimeout(READ_TIMEOUT_MILLIS);
			ForwardingFixture.send(caller, "GET " + path, "Authorization: Token key-1\r\n", "");
			return ForwardingFixture.readStatus(caller);
		}
	}

}
