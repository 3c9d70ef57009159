package org.marjoramgw.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.marjoramgw.direct.follow.KeyedRecord;
import org.testng.Assert;

/**
 * Server {@code i-0}, which leaves, and server {@code i-1}, which is sound, behind an
 * entry process.
 *
 * @author The marjoramgw authors
 */
final class LeavingPair implements AutoCloseable {

	static final String KEY = "Authorization: Token key-1\r\n";

	static final String LEAVING = "Server-Leaving: 1\r\n";

	static final String EVENTS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

	static final String EVENT = "7\r\nid: 1\n\n\r\n";

	static final String LAST_CHUNK = "0\r\n\r\n";

	/** Number of requests that are sent after the notice. */
	static final int LATER_COUNT = 40;

	/** Script of a server that answers every request well. */
	static final ScriptedServer.Script SOUND = (request, connection) -> ScriptedServer.write(connection,
			isStreamed(request) ? ScriptedServer.head("200 OK", request, EVENTS) + EVENT + LAST_CHUNK
					: plain(request, ""));

	private static final int MAX_CALLS_BEFORE = 40;

	private final ScriptedServer leaving;

	private final ScriptedServer sound;

	private final ForwardingFixture fixture;

	/**
	 * Starts the servers.
	 * @param script script of the server that leaves
	 * @throws Exception if the setup fails
	 */
	LeavingPair(ScriptedServer.Script script) throws Exception {
		this.leaving = new ScriptedServer(script);
		this.sound = new ScriptedServer(SOUND);
		this.fixture = new ForwardingFixture(this.leaving, this.sound);
	}

	ForwardingFixture fixture() {
		return this.fixture;
	}

	ScriptedServer leaving() {
		return this.leaving;
	}

	/**
	 * Creates a registration at the address of the server that leaves.
	 * @param id id of the server
	 * @param born time of its start
	 * @return the registration
	 */
	KeyedRecord leavingRegistration(String id, long born) {
		return registration(id, this.leaving, born);
	}

	KeyedRecord soundRegistration() {
		return registration("i-1", this.sound, 0);
	}

	/**
	 * Sends requests until the server that leaves was reached once.
	 * @param target method and target
	 * @throws IOException if a caller's connection can't be used
	 */
	void callUntilReached(String target) throws IOException {
		for (int call = 0; call < MAX_CALLS_BEFORE && this.leaving.requests().isEmpty(); call++) {
			this.fixture.call(target, KEY, "prompt");
		}
		Assert.assertEquals(this.leaving.requests().size(), 1);
	}

	/**
	 * Sends {@link #LATER_COUNT} requests.
	 * @param target method and target
	 * @return how many of them reached the server that leaves
	 * @throws IOException if a caller's connection can't be used
	 */
	int countLater(String target) throws IOException {
		int before = this.leaving.requests().size();
		for (int request = 0; request < LATER_COUNT; request++) {
			this.fixture.call(target, KEY, "prompt");
		}
		return this.leaving.requests().size() - before;
	}

	void assertNoneLater(String target) throws IOException {
		Assert.assertEquals(countLater(target), 0, "of " + LATER_COUNT);
	}

	@Override
	public void close() throws IOException {
		this.fixture.close();
		this.leaving.close();
		this.sound.close();
	}

	static KeyedRecord registration(String id, ScriptedServer server, long born) {
		String value = "{\"service\":\"s\",\"address\":\"" + server.address()
				+ "\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\",\"born\":" + born + "}";
		return new KeyedRecord(id, Optional.of(value.getBytes(StandardCharsets.UTF_8)), 0);
	}

	/**
	 * Creates a response that is no stream.
	 * @param request the request
	 * @param more further header lines, each with its line end
	 * @return the response
	 */
	static String plain(String request, String more) {
		return ScriptedServer.head("200 OK", request, more + "Content-Length: 4\r\n") + "good";
	}

	static ScriptedServer.Script answer(Answer answer) {
		return (request, connection) -> ScriptedServer.write(connection, answer.to(request));
	}

	static ScriptedServer.Script breakingOff(Answer answer) {
		return (request, connection) -> {
			ScriptedServer.write(connection, answer.to(request));
			connection.close();
			return false;
		};
	}

	private static boolean isStreamed(String request) {
		return !request.startsWith("POST /book") && !request.startsWith("GET /read");
	}

	/**
	 * Answer of a server.
	 */
	@FunctionalInterface
	interface Answer {

		/**
		 * Returns the answer to a request.
		 * @param request the request
		 * @return its bytes, one character each
		 */
		String to(String request);

	}

}
