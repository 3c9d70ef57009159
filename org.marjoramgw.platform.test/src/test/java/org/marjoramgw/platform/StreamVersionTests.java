package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.program.Pause;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a stream goes on only at the software version that began it, with entry
 * processes that are killed.
 *
 * @author The marjoramgw authors
 */
public class StreamVersionTests {

	private static final String KEY = "Authorization: Token key-1\r\n";

	private static final int GRACE_SECONDS = 1;

	private static final int STREAM_COUNT = 24;

	/** The retry budget lets all streams of a test go on. */
	private static final String RETRIES = "free_retry_count = 1000\n";

	private static final int READ_TIMEOUT_MILLIS = 8_000;

	/** Time in which processes see a change of the registrations, in milliseconds. */
	private static final int SETTLE_MILLIS = 1_500;

	private RestorableStore store;

	private VersionedServers servers;

	@BeforeMethod
	public void start() throws IOException {
		this.store = new RestorableStore();
		this.store.append(StoreClient.OPERATOR_TOPIC, FixtureRecords.longConfiguration());
		this.servers = new VersionedServers("v1", "v1", "v2", "v2");
	}

	@AfterMethod
	public void stop() throws IOException {
		this.servers.close();
		this.store.close();
	}

	/** Guards against a response that is joined when a server breaks off. */
	@Test
	public void streamGoesOnAtTheVersionOfItsFirstEvent() throws Exception {
		register(0, 1, 2, 3);
		try (StartedEntry entry = started()) {
			this.servers.breakFirstRuns(true);
			int complete = 0;
			for (int stream = 0; stream < STREAM_COUNT; stream++) {
				List<String> versions = VersionedServers.versions(call(entry, "a" + stream, ""));
				Assert.assertEquals(new HashSet<>(versions).size(), 1, versions.toString());
				complete += (versions.size() == VersionedServers.EVENT_COUNT) ? 1 : 0;
			}
			Assert.assertTrue(complete >= STREAM_COUNT / 2, complete + " of " + STREAM_COUNT);
		}
	}

	/**
	 * Lists what happens between the beginning of the streams and the take-ups.
	 * @return whether the store is restored from a copy before all processes end, and
	 * whether the version that began first leaves afterwards
	 */
	@DataProvider
	public Object[][] changes() {
		return new Object[][] { { false, false }, { false, true }, { true, false }, { true, true } };
	}

	/**
	 * Guards against a take-up that is joined by a process that knows nothing of the
	 * stream, and against take-ups that are all refused.
	 */
	@Test(dataProvider = "changes")
	public void streamsTakenUpAfterAllProcessesWereKilledAreNotJoined(boolean restored, boolean oldVersionLeaves)
			throws Exception {
		register(0, 1);
		List<List<String>> begun = new ArrayList<>();
		this.servers.hold(true);
		try (StartedEntry first = started(); StartedEntry second = started()) {
			Map<String, List<KeyedRecord>> copy = this.store.copy();
			register(2, 3);
			Pause.millis(SETTLE_MILLIS);
			List<Socket> callers = new ArrayList<>();
			for (int stream = 0; stream < STREAM_COUNT; stream++) {
				callers.add(open((stream % 2 == 0) ? first : second, "b" + stream, ""));
			}
			for (Socket caller : callers) {
				begun.add(VersionedServers.versions(readFirstEvents(caller)));
			}
			Pause.millis(SETTLE_MILLIS);
			if (restored) {
				this.store.goAway();
				this.store.restore(copy);
				register(2, 3);
				Pause.millis(SETTLE_MILLIS * 3);
			}
			first.process().destroyForcibly().waitFor();
			second.process().destroyForcibly().waitFor();
			ForwardingFixture.closeAll(callers);
		}
		this.servers.hold(false);
		if (oldVersionLeaves) {
			deregister(0, 1);
		}
		try (StartedEntry first = started(); StartedEntry second = started()) {
			int possible = 0;
			int continued = 0;
			for (int stream = 0; stream < STREAM_COUNT; stream++) {
				String response = call((stream % 2 == 0) ? second : first, "c" + stream,
						"Resumes: b" + stream + "\r\nLast-Event-Id: " + VersionedServers.FIRST_EVENTS + "\r\n");
				Set<String> versions = new HashSet<>(begun.get(stream));
				Assert.assertEquals(versions.size(), 1, "began at one version");
				boolean lost = oldVersionLeaves && versions.contains("v1");
				List<String> rest = VersionedServers.versions(response);
				versions.addAll(rest);
				Assert.assertEquals(versions.size(), 1, "joined: " + versions + " " + response);
				possible += lost ? 0 : 1;
				continued += rest.isEmpty() ? 0 : 1;
			}
			Assert.assertTrue(possible > 0, "both versions began streams");
			Assert.assertTrue(continued * 2 >= possible, continued + " of " + possible + " went on");
		}
	}

	/** Guards against take-ups that are refused where there was never another version. */
	@Test
	public void streamsOfTheOnlyVersionGoOnAfterAllProcessesWereKilled() throws Exception {
		register(0, 1);
		this.servers.hold(true);
		try (StartedEntry entry = started(); Socket caller = open(entry, "b1", "")) {
			Assert.assertEquals(VersionedServers.versions(readFirstEvents(caller)).size(),
					VersionedServers.FIRST_EVENTS);
			entry.process().destroyForcibly().waitFor();
		}
		this.servers.hold(false);
		try (StartedEntry entry = started()) {
			for (String resumes : new String[] { "Resumes: b1\r\n", "" }) {
				String response = call(entry, "c1", resumes + "Last-Event-Id: 3\r\n");
				Assert.assertEquals(VersionedServers.versions(response), List.of("v1", "v1", "v1"), response);
			}
		}
	}

	private StartedEntry started() throws IOException {
		StartedEntry entry = new StartedEntry(this.store.address(), GRACE_SECONDS, StartedEntry.HEAP_MB, List.of(),
				RETRIES);
		entry.awaitReady();
		return entry;
	}

	private void register(int... indexes) {
		for (int index : indexes) {
			this.store.append(StoreClient.SERVERS_TOPIC, this.servers.registration(index));
		}
	}

	private void deregister(int... indexes) {
		for (int index : indexes) {
			this.store.append(StoreClient.SERVERS_TOPIC, new KeyedRecord("i-" + index, Optional.empty(), 0));
		}
	}

	private static Socket open(StartedEntry entry, String id, String more) throws IOException {
		Socket caller = entry.connect();
		caller.setSoTimeout(READ_TIMEOUT_MILLIS);
		ForwardingFixture.send(caller, "POST /resume/1",
				"Connection: close\r\nX-Request-Id: " + id + "\r\n" + KEY + more, "prompt");
		return caller;
	}

	private static String call(StartedEntry entry, String id, String more) throws IOException {
		try (Socket caller = open(entry, id, more)) {
			return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	private static String readFirstEvents(Socket caller) throws IOException {
		StringBuilder response = new StringBuilder();
		while (VersionedServers.versions(response.toString()).size() < VersionedServers.FIRST_EVENTS) {
			int next = caller.getInputStream().read();
			Assert.assertTrue(next >= 0, "the connection ended: " + response);
			response.append((char) next);
		}
		return response.toString();
	}

}
