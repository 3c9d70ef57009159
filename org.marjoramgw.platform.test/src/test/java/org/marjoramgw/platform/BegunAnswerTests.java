package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.quarantine.PassingGuard;
import org.marjoramgw.direct.quarantine.PromptGuard;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests from when on the answer to a prompt counts as one that its server survives.
 *
 * @author The marjoramgw authors
 */
public class BegunAnswerTests {

	private static final String PROMPT = "Authorization: Token key-1\r\nX-Model: m\r\nX-Token-Usage: 100,10\r\n"
			+ "X-Prompt-Prefix: shared:50,part:40,own:10\r\n";

	private static final String TYPE = "Content-Type: text/event-stream\r\n";

	private static final String CHUNKED = TYPE + "Transfer-Encoding: chunked\r\n";

	private static final String EVENT = "id: 1\ndata: aa\n\n";

	private static final int[] PIECE_BYTES = { 1, 2, 7, 100 };

	/**
	 * Each row: route, further header lines, and whether the connection is reset when the
	 * server ends.
	 * @return the rows
	 */
	@DataProvider
	public Object[][] crashes() {
		List<Object[]> rows = new ArrayList<>();
		for (String route : new String[] { "/stream/1", "/resume/1" }) {
			for (String headers : new String[] { CHUNKED, TYPE, TYPE + "Content-Length: 1000\r\n" }) {
				rows.add(new Object[] { route, headers, true });
				rows.add(new Object[] { route, headers, false });
			}
		}
		return rows.toArray(new Object[0][]);
	}

	/**
	 * Guards against parts that crash their servers and are cleared, since the beginning
	 * of the first event came in several pieces or the connection ended without a reset.
	 */
	@Test(dataProvider = "crashes")
	public void firstEventInAnyPiecesIsNoAnswer(String route, String headers, boolean reset) throws Exception {
		RecordingGuard guard = new RecordingGuard();
		AtomicInteger sentBytes = new AtomicInteger();
		AtomicInteger pieceBytes = new AtomicInteger();
		ScriptedServer.Script script = (request, connection) -> {
			begin(connection, request, headers, EVENT.substring(0, sentBytes.get()), pieceBytes.get());
			connection.setSoLinger(reset, 0);
			connection.close();
			return false;
		};
		try (ScriptedServer server = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture((connector, health, timers) -> guard, server)) {
			int calls = 0;
			for (int bytes : PIECE_BYTES) {
				pieceBytes.set(bytes);
				for (int length : new int[] { 0, 1, 5, 7, EVENT.length() - 1, EVENT.length() }) {
					sentBytes.set(length);
					String response = fixture.call("POST " + route, PROMPT, "prompt");
					calls++;
					String message = length + " bytes in pieces of " + bytes + ": " + response;
					Assert.assertEquals(guard.answers.get(), 0, message);
					Assert.assertEquals(guard.unanswered.get(), calls, message);
					Assert.assertFalse(length < EVENT.length() && looksComplete(response), message);
				}
			}
		}
	}

	@DataProvider
	public Object[][] answers() {
		String event = "id: 2\ndata: bb\n\n";
		return new Object[][] { { "/stream/1", CHUNKED, EVENT + event }, { "/resume/1", CHUNKED, EVENT + event },
				{ "/stream/1", TYPE, EVENT + event }, { "/stream/1", CHUNKED, EVENT }, { "/resume/1", CHUNKED, EVENT },
				{ "/stream/1", TYPE + "Content-Length: " + EVENT.length() + "\r\n", EVENT },
				{ "/read/1", "Content-Length: 4\r\n", "good" },
				{ "/read/1", "Transfer-Encoding: chunked\r\n", "good" } };
	}

	/**
	 * Guards against sound parts that are accused, since their answers came in small
	 * pieces or were short.
	 */
	@Test(dataProvider = "answers")
	public void answerCountsOnceInAnyPieces(String route, String headers, String body) throws Exception {
		for (int bytes : PIECE_BYTES) {
			RecordingGuard guard = new RecordingGuard();
			ScriptedServer.Script script = (request, connection) -> {
				begin(connection, request, headers, body, bytes);
				ScriptedServer.write(connection, headers.contains("chunked") ? "0\r\n\r\n" : "");
				connection.close();
				return false;
			};
			try (ScriptedServer server = new ScriptedServer(script);
					ForwardingFixture fixture = new ForwardingFixture((connector, health, timers) -> guard, server)) {
				String response = fixture.call("POST " + route, PROMPT, "prompt");
				Assert.assertTrue(response.startsWith("HTTP/1.1 200 "), response);
				Assert.assertEquals(guard.answers.get(), 1, "pieces of " + bytes);
				Assert.assertEquals(guard.unanswered.get(), 0, "pieces of " + bytes);
			}
		}
	}

	/**
	 * Guards against error responses that clear the parts of their prompts.
	 */
	@Test
	public void errorIsNoAnswer() throws Exception {
		RecordingGuard guard = new RecordingGuard();
		ScriptedServer.Script script = (request, connection) -> ScriptedServer.write(connection,
				ScriptedServer.head("404 Not Found", request, "Content-Length: 4\r\n") + "none");
		try (ScriptedServer server = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture((connector, health, timers) -> guard, server)) {
			for (String route : new String[] { "/stream/1", "/read/1" }) {
				Assert.assertTrue(fixture.call("POST " + route, PROMPT, "prompt").startsWith("HTTP/1.1 404 "));
			}
			Assert.assertEquals(guard.answers.get(), 0);
		}
	}

	/**
	 * Guards against a server that is used on and on, since it sends the heads of its
	 * streams before it breaks them off.
	 */
	@Test
	public void serverThatBreaksOffBehindItsHeadsBecomesSuspect() throws Exception {
		ServerHealth[] health = new ServerHealth[1];
		ScriptedServer.Script script = (request, connection) -> {
			begin(connection, request, CHUNKED, "id: 1\n", 1);
			connection.close();
			return false;
		};
		try (ScriptedServer server = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture((connector, servers, timers) -> {
					health[0] = servers;
					return PromptGuard.NONE;
				}, server)) {
			for (int call = 0; call < 2; call++) {
				fixture.call("POST /stream/1", PROMPT, "prompt");
			}
			Assert.assertTrue(health[0].isSuspect("i-0"));
		}
	}

	private static void begin(Socket connection, String request, String headers, String body, int pieceBytes)
			throws IOException {
		ScriptedServer.write(connection, ScriptedServer.head("200 OK", request, headers));
		for (int start = 0; start < body.length(); start += pieceBytes) {
			String piece = body.substring(start, Math.min(body.length(), start + pieceBytes));
			ScriptedServer.write(connection, headers.contains("chunked") ? EventStreamFixture.chunk(piece) : piece);
		}
	}

	private static boolean looksComplete(String response) {
		return response.startsWith("HTTP/1.1 200 ") && response.endsWith("0\r\n\r\n");
	}

	/** Guard that counts what it is told. */
	private static final class RecordingGuard extends PassingGuard {

		private final AtomicInteger answers = new AtomicInteger();

		private final AtomicInteger unanswered = new AtomicInteger();

		@Override
		public void onAnswer(CallerRequest request) {
			this.answers.incrementAndGet();
		}

		@Override
		public CompletionStage<Boolean> onUnanswered(BackendServer server, CallerRequest request, boolean answering,
				long sentMillis) {
			this.unanswered.incrementAndGet();
			return CompletableFuture.completedFuture(false);
		}

	}

}
