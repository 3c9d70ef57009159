package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a caller gets its own answer from a server that answers more than once.
 *
 * @author The marjoramgw authors
 */
public class SecondAnswerTests {

	private static final String KEY = "Authorization: Token key-1\r\n";

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final String SHORT_OK = "X-Request-Id: a\r\nX-Response-Stamp: of-a\r\nContent-Length: 4\r\n\r\ngood";

	private static final String REFUSAL = "HTTP/1.1 503 Full\r\nX-Request-Id: a\r\nX-Not-Executed: 1\r\n"
			+ "Content-Length: 0\r\n\r\n";

	private static final String ANSWER_A = OK + "Keep-Alive: timeout=5\r\n" + SHORT_OK;

	@DataProvider
	public Object[][] extras() {
		return new Object[][] { { "cut in the status line", "HTTP/1.1 200 O" }, { "cut behind the status line", OK },
				{ "cut in a header's name", OK + "X-Respo" },
				{ "cut in a header's value", OK + "X-Response-Stamp: of-" },
				{ "cut behind a stamp", OK + "X-Response-Stamp: of-a\r\nX-Note: " },
				{ "cut behind a length", OK + "Content-Length: 4\r\nX-Note: " },
				{ "cut behind a coding", OK + "Transfer-Encoding: chunked\r\nX-Note: " },
				{ "cut behind its id", OK + "X-Request-Id: a\r\nX-Note: " },
				{ "refusal cut behind its mark", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Note: " },
				{ "cut in its body", OK + SHORT_OK.substring(0, SHORT_OK.length() - 2) }, { "whole", OK + SHORT_OK },
				{ "whole, without an id", OK + "X-Response-Stamp: of-a\r\nContent-Length: 4\r\n\r\ngood" },
				{ "refusal", REFUSAL }, { "refusal without an id", REFUSAL.replace("X-Request-Id: a\r\n", "") },
				{ "421", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n" },
				{ "informational", "HTTP/1.1 100 Continue\r\n\r\n" },
				{ "informational, cut", "HTTP/1.1 103 Early Hints\r\nLink: x" }, { "line end", "\r\n" },
				{ "letter", "x" } };
	}

	@DataProvider
	public Object[][] framings() {
		String mark = "X-Request-Id: a\r\nX-Response-Stamp: of-a\r\nKeep-Alive: timeout=5\r\n";
		return new Object[][] { { "GET", ANSWER_A },
				{ "GET", OK + mark + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n" },
				{ "GET", OK + mark + "Transfer-Encoding: chunked\r\n\r\n4;x=y\r\ngood\r\n0\r\nX-T: u\r\n\r\n" },
				{ "GET", OK + mark + "Content-Length: 0\r\n\r\n" }, { "HEAD", OK + mark + "Content-Length: 4\r\n\r\n" },
				{ "GET", "HTTP/1.1 204 No Content\r\n" + mark + "\r\n" },
				{ "GET", "HTTP/1.1 304 Not Modified\r\n" + mark + "Content-Length: 4\r\n\r\n" },
				{ "GET", "HTTP/1.1 100 Continue\r\n\r\n" + ANSWER_A } };
	}

	@Test(dataProvider = "extras")
	public void bytesBehindAnAnswerAreNotTakenForTheNextOne(String description, String extra) throws Exception {
		assertOwnAnswer(description, "GET", ANSWER_A + extra, "", "b", true);
	}

	@Test(dataProvider = "framings")
	public void bytesBehindAnyKindOfAnswerAreNotTakenForTheNextOne(String method, String answer) throws Exception {
		assertOwnAnswer(answer, method, answer + "HTTP/1.1 200 O", "", "b", true);
	}

	@Test(dataProvider = "extras")
	public void bytesThatCrossARequestAreNotTakenForItsAnswer(String description, String extra) throws Exception {
		assertOwnAnswer(description, "GET", ANSWER_A, extra, "b", false);
	}

	@Test(dataProvider = "extras")
	public void lateAnswerIsNotTakenForOneWithTheSameId(String description, String extra) throws Exception {
		assertOwnAnswer(description, "GET", ANSWER_A, extra, "a", true);
	}

	@Test
	public void cutAnswerIsNotCompletedByASecondOne() throws Exception {
		String cut = OK + "X-Request-Id: a\r\nX-Response-Stamp: of-a\r\nContent-Length: 60\r\n\r\nshort";
		assertBroken("GET /read/1", cut, ANSWER_A, false);
		assertBroken("POST /book/1", cut, ANSWER_A, false);
		assertBroken("GET /read/1", cut + ANSWER_A, "", false);
	}

	@Test
	public void answerWithoutALengthIsNotExtendedByASecondOne() throws Exception {
		String unframed = OK + "X-Request-Id: a\r\nX-Response-Stamp: of-a\r\n\r\ngood";
		assertBroken("GET /read/1", unframed, ANSWER_A, true);
		assertBroken("POST /book/1", unframed + ANSWER_A, "", true);
	}

	private static void assertBroken(String target, String first, String second, boolean close) throws Exception {
		ScriptedServer.Script script = (request, connection) -> {
			ScriptedServer.write(connection, first);
			pause();
			ScriptedServer.write(connection, second);
			if (close) {
				connection.close();
			}
			return true;
		};
		try (ScriptedServer server = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			String response = fixture.call(target, "X-Request-Id: a\r\n" + KEY, "");
			Assert.assertTrue(response.startsWith("HTTP/1.1 50"), response);
		}
	}

	/**
	 * Calls a server twice that answers the second call with 404.
	 * @param description description of the case
	 * @param method method of the first call
	 * @param first answer to the first call
	 * @param crossing bytes that come before the second answer, on a kept connection
	 * @param id id of the second call
	 * @param served whether the second call must get its answer, and not a failure
	 * @throws Exception if the test fails
	 */
	private static void assertOwnAnswer(String description, String method, String first, String crossing, String id,
			boolean served) throws Exception {
		Map<Socket, Integer> calls = new ConcurrentHashMap<>();
		ScriptedServer.Script script = (request, connection) -> {
			int call = calls.merge(connection, 1, Integer::sum);
			return ScriptedServer.write(connection,
					request.contains("/read/1") ? first : (call > 1) ? crossing + answerOf(id) : answerOf(id));
		};
		try (ScriptedServer server = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			fixture.call(method + " /read/1", "X-Request-Id: a\r\n" + KEY, "");
			String response = fixture.call("GET /read/2", "X-Request-Id: " + id + "\r\n" + KEY, "");
			boolean own = response.startsWith("HTTP/1.1 404 ") && response.contains("X-Response-Stamp: second\r\n")
					&& !response.contains("of-") && response.endsWith("none");
			boolean failed = response.startsWith("HTTP/1.1 502 ");
			Assert.assertTrue(own || failed && !served, description + ": " + response);
		}
	}

	private static String answerOf(String id) {
		return "HTTP/1.1 404 Not Found\r\nX-Request-Id: " + id
				+ "\r\nX-Response-Stamp: second\r\nContent-Length: 4\r\n\r\nnone";
	}

	private static void pause() throws IOException {
		try {
			Thread.sleep(50);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

}
