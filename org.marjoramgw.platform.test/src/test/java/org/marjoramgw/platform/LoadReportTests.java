package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that the observer of the load is told the course of each attempt.
 *
 * @author The marjoramgw authors
 */
public class LoadReportTests {

	private static final String PROMPT = "Authorization: Token key-1\r\nX-Model: m\r\nX-Token-Usage: 100,10\r\n"
			+ "X-Prompt-Prefix: a:50,b:40,c:10\r\n";

	private static final String KEY = "Authorization: Token key-1\r\n";

	private static final String PROMPT_SENT = "sent parts=2 prompt=100";

	private static final String PLAIN_SENT = "sent parts=0 prompt=0";

	/** Guards against a stream that counts as load after its end. */
	@Test
	public void streamIsReportedFromItsSendToItsEnd() throws Exception {
		assertEvents((request, connection) -> {
			ScriptedServer.write(connection,
					ScriptedServer.head("200 OK", request,
							"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
							+ "a\r\ndata: ok\n\n\r\n");
			return ScriptedServer.write(connection, "0\r\n\r\n");
		}, "POST /stream/1", PROMPT, List.of(PROMPT_SENT, "first", "ended"));
	}

	/** Guards against plain calls that no server ever answers in time. */
	@Test
	public void answerToAPlainCallIsItsFirstToken() throws Exception {
		assertEvents(ScriptedServer::respondGood, "POST /book/1", KEY, List.of(PLAIN_SENT, "first", "ended"));
	}

	/** Guards against a failing server that looks like one that only ended a request. */
	@Test
	public void brokenConnectionIsAFailureOfTheServer() throws Exception {
		assertEvents((request, connection) -> {
			throw new IOException("crash");
		}, "POST /book/1", KEY, List.of(PLAIN_SENT, "failed"));
	}

	/** Guards against each further attempt that isn't reported. */
	@Test
	public void everyAttemptIsReported() throws Exception {
		assertEvents(
				(request, connection) -> ScriptedServer.write(connection,
						ScriptedServer.head("500 Error", request, "Content-Length: 0\r\n")),
				"GET /read/1", KEY, List.of(PLAIN_SENT, "failed", PLAIN_SENT, "failed"),
				(request, connection) -> ScriptedServer.write(connection,
						ScriptedServer.head("500 Error", request, "Content-Length: 0\r\n")));
	}

	/** Guards against a server that hangs and looks as if it had nothing to do. */
	@Test
	public void serverThatLetsTheTimePassIsOverdue() throws Exception {
		assertEvents((request, connection) -> false, "POST /book/1", KEY, List.of(PLAIN_SENT, "failed"));
	}

	/** Guards against callers that leave and make their server look broken. */
	@Test
	public void callerThatLeavesIsNoFailureOfTheServer() throws Exception {
		try (ScriptedServer server = new ScriptedServer((request, connection) -> false);
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			try (Socket caller = fixture.open("POST /long-stream/1", PROMPT, "prompt")) {
				Assert.assertEquals(server.awaitRequests(1, 3_000), 1);
			}
			Assert.assertEquals(fixture.load().await(2), List.of(PROMPT_SENT, "ended"));
		}
	}

	private static void assertEvents(ScriptedServer.Script script, String target, String headers, List<String> expected,
			ScriptedServer.Script... more) throws Exception {
		ScriptedServer[] servers = new ScriptedServer[1 + more.length];
		servers[0] = new ScriptedServer(script);
		for (int index = 0; index < more.length; index++) {
			servers[index + 1] = new ScriptedServer(more[index]);
		}
		try (ForwardingFixture fixture = new ForwardingFixture(servers)) {
			fixture.call(target, headers, "body");
			Assert.assertEquals(fixture.load().await(expected.size()), expected);
		}
		finally {
			for (ScriptedServer server : servers) {
				server.close();
			}
		}
	}

}
