package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the bytes of a head reach the other side unchanged, or not at all, in both
 * directions. Strings have one character for each byte.
 *
 * @author The marjoramgw authors
 */
public class HeaderBytesTests {

	/** Time in which a request that must not be sent would arrive, in milliseconds. */
	private static final long SETTLE_MILLIS = 300;

	private static final String KEY = "Authorization: Token key-1\r\n";

	/** U+010D and U+010A in UTF-8. The low bytes of these characters are a line end. */
	private static final String HIDDEN_LINE_END = "\u00c4\u008d\u00c4\u008a";

	private static final String HIDDEN_REQUEST = HIDDEN_LINE_END + HIDDEN_LINE_END + "POST /book/hidden HTTP/1.1"
			+ HIDDEN_LINE_END + "Host: carob.example" + HIDDEN_LINE_END + "x-request-id:hidden" + HIDDEN_LINE_END
			+ "X-Tenant: other" + HIDDEN_LINE_END + "X-Pad: a";

	/** Text with characters of one, two, three and four bytes. */
	private static final String UTF_8 = bytesOf("ab \u00e8\u010d\u20ac\ud83d\ude00 yz");

	@DataProvider
	public Object[][] requestHeaders() {
		return new Object[][] { { "Content-Type", "text/plain; a=\"b" + HIDDEN_REQUEST + "\"" },
				{ "Content-Type", "text/plain; charset=\"" + HIDDEN_REQUEST + "\"" },
				{ "Content-Type", "multipart/mixed; boundary=\"" + HIDDEN_REQUEST + "\"" },
				{ "Content-Type", "text/plain; a=\"" + UTF_8 + "\"" }, { "Content-Type", "x/" + UTF_8 },
				{ "Content-Type", "no media type" }, { "Content-Type", "text/plain; a=\"q\\\"\\\\" + UTF_8 + "\"" },
				{ "X-Model", "m" + HIDDEN_REQUEST }, { "X-Model", UTF_8 }, { "X-Prompt-Prefix", UTF_8 + ":5,p:1" },
				{ "X-Token-Usage", UTF_8 }, { "User-Agent", UTF_8 }, { "Cookie", "a=" + HIDDEN_REQUEST },
				{ "X-Note", UTF_8 }, { "X-Note", "m" + HIDDEN_REQUEST } };
	}

	/**
	 * Guards against line ends that come into being when a header is written, and against
	 * headers that are changed or left out.
	 */
	@Test(dataProvider = "requestHeaders")
	public void headersOfARequestReachTheServerUnchanged(String name, String value) throws Exception {
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			String response = fixture.call("POST /book/1", KEY + name + ": " + value + "\r\n", "order");
			Assert.assertTrue(response.startsWith("HTTP/1.1 200 "), response);
			Assert.assertEquals(server.requests().size(), 1, server.requests().toString());
			String request = server.requests().get(0);
			Assert.assertTrue(request.startsWith("POST /book/1 HTTP/1.1\r\n"), request);
			Assert.assertTrue(request.contains("\r\n" + name + ": " + value + "\r\n"), request);
			Assert.assertEquals(request.substring(request.indexOf("\r\n\r\n") + 4), "order", request);
		}
	}

	@Test
	public void idOfARequestIsReturnedUnchanged() throws Exception {
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			String id = "X-Request-Id: " + UTF_8.replace(" ", "") + "\r\n";
			for (String target : new String[] { "/book/1", "/nowhere/1" }) {
				String response = fixture.call("POST " + target, KEY + id, "order");
				Assert.assertTrue(response.contains(id), response);
			}
			Assert.assertTrue(server.requests().get(0).contains(id), server.requests().toString());
		}
	}

	@DataProvider
	public Object[][] swallowingValues() {
		return new Object[][] { { "caf\u00e9" }, { "\u00e8" }, { "a\u00c3" }, { "\u00f0\u009f" },
				{ "a \u00ed\u00a0\u0080 b" } };
	}

	/**
	 * Guards against a body that runs as a request of its own: the library takes the line
	 * end behind such bytes, and the next header, for a part of the value.
	 */
	@Test(dataProvider = "swallowingValues")
	public void requestWhoseHeadIsMisreadIsRefusedAndItsConnectionClosed(String value) throws Exception {
		String hidden = "POST /book/hidden HTTP/1.1\r\nHost: carob.example\r\nX-Request-Id: hidden\r\n" + KEY
				+ "Content-Length: 0\r\n\r\n";
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture(server);
				Socket caller = fixture.connect(0)) {
			caller.getOutputStream()
				.write(("POST /book/1 HTTP/1.1\r\nHost: carob.example\r\nX-Request-Id: r1\r\n" + KEY + "X-Note: "
						+ value + "\r\nContent-Length: " + hidden.length() + "\r\n\r\n" + hidden)
					.getBytes(StandardCharsets.ISO_8859_1));
			String response = readAll(caller);
			Assert.assertEquals(server.awaitRequests(1, SETTLE_MILLIS), 0, server.requests().toString());
			Assert.assertTrue(response.startsWith("HTTP/1.1 400 ") && response.contains("\"code\":2024"), response);
			Assert.assertFalse(response.contains("X-Request-Id: hidden"), response);
		}
	}

	@DataProvider
	public Object[][] responseHeaders() {
		String hidden = HIDDEN_LINE_END + "X-Injected: 1" + HIDDEN_LINE_END + HIDDEN_LINE_END + "data: b";
		return new Object[][] { { "Content-Type", "text/event-stream; a=\"b" + hidden + "\"" },
				{ "Content-Type", "text/plain; a=\"b" + hidden + "\"" },
				{ "Content-Type", "text/plain; a=\"caf\u00e9\"" }, { "Content-Type", "no media type" },
				{ "X-Note", "b" + hidden }, { "X-Note", UTF_8 }, { "X-Note", "caf\u00e9" }, { "X-Note", "a \u00c3" } };
	}

	/**
	 * Guards against a second response within the first one, and against headers that are
	 * changed, left out or joined with the next.
	 */
	@Test(dataProvider = "responseHeaders")
	public void headersOfAResponseReachTheCallerUnchanged(String name, String value) throws Exception {
		String type = name.equals("Content-Type") ? "" : "Content-Type: text/event-stream\r\n";
		ScriptedServer.Script script = (request,
				connection) -> ScriptedServer.write(connection,
						ScriptedServer.head("200 OK", request,
								type + name + ": " + value + "\r\nX-After: 1\r\nContent-Length: 9\r\n")
								+ "data: a\n\n");
		try (ScriptedServer server = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			for (String path : new String[] { "/book/1", "/stream/1", "/resume/1" }) {
				String response = fixture.call("POST " + path, KEY, "order");
				Assert.assertTrue(response.startsWith("HTTP/1.1 200 "), path + ": " + response);
				Assert.assertTrue(response.contains("\r\n" + name + ": " + value + "\r\n"), path + ": " + response);
				Assert.assertTrue(response.contains("\r\nX-After: 1\r\n"), path + ": " + response);
				Assert.assertFalse(response.contains("\r\nX-Injected"), path + ": " + response);
				Assert.assertTrue(response.contains("data: a\n\n"), path + ": " + response);
			}
		}
	}

	private static String bytesOf(String text) {
		return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
	}

	private static String readAll(Socket caller) throws IOException {
		return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
	}

}
