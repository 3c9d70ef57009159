package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.program.Pause;

/**
 * Backend servers whose events name the software version that made them.
 * <p>
 * They write the first events of a stream at once and hold the rest back while the
 * servers are held, so that a test can break streams off midway.
 *
 * @author The marjoramgw authors
 */
final class VersionedServers implements AutoCloseable {

	/** Events of a complete stream. */
	static final int EVENT_COUNT = 6;

	/** Events that are written before a server that is held stops. */
	static final int FIRST_EVENTS = 3;

	private static final int POLL_MILLIS = 2;

	private static final long HOLD_SECONDS = 20;

	private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\S+)\n\n");

	private final List<ScriptedServer> servers = new ArrayList<>();

	private final List<String> versions = new ArrayList<>();

	private volatile boolean held;

	private volatile boolean breaking;

	/**
	 * Starts servers.
	 * @param versions version of each server
	 * @throws IOException if one can't listen
	 */
	VersionedServers(String... versions) throws IOException {
		for (String version : versions) {
			this.versions.add(version);
			this.servers.add(new ScriptedServer((request, connection) -> respond(version, request, connection)));
		}
	}

	/**
	 * Holds back the later events of streams from now on, or no longer.
	 * @param newHeld whether to hold them back
	 */
	void hold(boolean newHeld) {
		this.held = newHeld;
	}

	/**
	 * Lets servers break streams off that begin with the first event, or no longer.
	 * @param newBreaking whether to break them off
	 */
	void breakFirstRuns(boolean newBreaking) {
		this.breaking = newBreaking;
	}

	/**
	 * Returns the registration of a server.
	 * @param index index of the server
	 * @return the record
	 */
	KeyedRecord registration(int index) {
		String value = "{\"service\":\"s\",\"address\":\"" + this.servers.get(index).address()
				+ "\",\"zone\":\"a\",\"slots\":64,\"state\":\"ready\",\"version\":\"" + this.versions.get(index)
				+ "\"}";
		return new KeyedRecord("i-" + index, Optional.of(value.getBytes(StandardCharsets.UTF_8)), 0);
	}

	/**
	 * Returns the registrations of all servers.
	 * @return the records
	 */
	List<KeyedRecord> registrations() {
		List<KeyedRecord> records = new ArrayList<>();
		for (int index = 0; index < this.servers.size(); index++) {
			records.add(registration(index));
		}
		return records;
	}

	/**
	 * Returns the versions of the events in a response.
	 * @param response the response
	 * @return version of each event, in order
	 */
	static List<String> versions(String response) {
		Matcher event = EVENT.matcher(response.replaceAll("(?m)^[0-9a-f]+\r\n", "").replace("\r\n", ""));
		List<String> versions = new ArrayList<>();
		while (event.find()) {
			versions.add(event.group(2));
		}
		return versions;
	}

	@Override
	public void close() throws IOException {
		for (ScriptedServer server : this.servers) {
			server.close();
		}
	}

	private boolean respond(String version, String request, Socket connection) throws IOException {
		int next = EventStreamFixture.lastEventId(request) + 1;
		ScriptedServer.write(connection, ScriptedServer.head("200 OK", request, EventStreamFixture.STREAM_HEADERS));
		for (int id = next; id <= EVENT_COUNT; id++) {
			if (id == FIRST_EVENTS + 1 && next == 1) {
				if (this.breaking) {
					connection.close();
					return false;
				}
				awaitRelease();
			}
			ScriptedServer.write(connection, EventStreamFixture.chunk("id: " + id + "\ndata: " + version + "\n\n"));
		}
		return ScriptedServer.write(connection, "0\r\n\r\n");
	}

	private void awaitRelease() {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(HOLD_SECONDS);
		while (this.held && System.nanoTime() < endNanos) {
			Pause.millis(POLL_MILLIS);
		}
	}

}
