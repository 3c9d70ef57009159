package org.marjoramgw.process;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import org.marjoramgw.rig.ManagedProcess;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that an entry survives callers that don't respect the limits, and goes on to
 * serve others.
 *
 * @author The marjoramgw authors
 */
@Test(groups = AbstractUntrustedCallersTests.ALONE)
public class UntrustedCallersTests extends AbstractUntrustedCallersTests {

	private static final String PATH = "/v1/services/orders/quotes";

	private static final String POST = "POST " + PATH;

	private static final String CHAT = "POST /v1/chat/completions";

	private static final String KEY = "Authorization: Bearer " + TestConfiguration.KEY;

	private static final String CHUNKED = "Transfer-Encoding: chunked";

	/** Content of a body in chunks of one byte, which may occupy 100 times its length. */
	private static final int SMALL_CHUNKS_COUNT = 32_768;

	private static final int LARGE_CHUNK_BYTES = 65_536;

	@Override
	protected ManagedProcess process() {
		return fixture().deployment().entry("entry-1");
	}

	@Override
	protected HttpRequest.Builder ordinaryRequest() {
		return HttpRequest.newBuilder(uri(PATH))
			.header("Authorization", "Bearer " + TestConfiguration.KEY)
			.header("X-Request-Class", TestConfiguration.ORDER_CLASS)
			.POST(HttpRequest.BodyPublishers.ofString("{\"quote\":1}"));
	}

	/**
	 * Lists heads that are over the limit or never end.
	 * @return scripts
	 * @throws Exception if the options of the JVM can't be read
	 */
	@DataProvider
	public Object[][] heads() throws Exception {
		long endless = endlessBytes();
		return new Object[][] { { CallerScript.of("head over the limit", head(POST, KEY, "X-Long: "), "x", 1 << 20) },
				{ CallerScript.of("line without end", head(POST, KEY, "X-Long: "), "x", endless) },
				{ CallerScript.of("target without end", "GET /", "x", endless) },
				{ CallerScript.of("lines without end", head(POST, KEY) + "\r\n", "X-Line: x\r\n", endless) },
				{ CallerScript.of("empty lines without end", "\r\n", "\r\n", endless) } };
	}

	@Test(dataProvider = "heads")
	public void headsOverTheLimit(CallerScript script) throws Exception {
		survives(script, bodyConnections());
	}

	/**
	 * Lists bodies that stop one byte before their end.
	 * @return scripts
	 */
	@DataProvider
	public Object[][] bodies() {
		String length = wholeHead(POST, KEY, "Content-Length: " + MAX_BODY_BYTES);
		String chunked = wholeHead(POST, KEY, CHUNKED);
		String chunk = Integer.toHexString(LARGE_CHUNK_BYTES) + "\r\n" + "x".repeat(LARGE_CHUNK_BYTES) + "\r\n";
		long chunkedBytes = (long) chunk.length() * (MAX_BODY_BYTES / LARGE_CHUNK_BYTES) - 3;
		return new Object[][] { { CallerScript.of("length, whole", length, "x", MAX_BODY_BYTES - 1) },
				{ CallerScript.of("length, in pieces", length, "x", MAX_BODY_BYTES - 1).inPieces(1_024, 0) },
				{ CallerScript.of("large chunks", chunked, chunk, chunkedBytes) },
				{ CallerScript.of("chunks of one byte", chunked, "1\r\nx\r\n", 6 * SMALL_CHUNKS_COUNT - 3) } };
	}

	@Test(dataProvider = "bodies")
	public void bodiesThatStopBeforeTheirEnd(CallerScript script) throws Exception {
		survives(script, bodyConnections());
	}

	/**
	 * Lists chunked bodies with parts that never end.
	 * @return scripts
	 * @throws Exception if the options of the JVM can't be read
	 */
	@DataProvider
	public Object[][] chunkParts() throws Exception {
		long endless = endlessBytes();
		String chunked = wholeHead(POST, KEY, CHUNKED);
		return new Object[][] { { CallerScript.of("extension without end", chunked + "1;a=", "x", endless) },
				{ CallerScript.of("extensions", chunked, "1;a=" + "x".repeat(200) + "\r\nx\r\n", endless) },
				{ CallerScript.of("trailer line without end", chunked + "0\r\nX-Long: ", "x", endless) },
				{ CallerScript.of("trailers without end", chunked + "0\r\n", "X-Line: x\r\n", endless) } };
	}

	@Test(dataProvider = "chunkParts")
	public void chunkedBodiesWithoutEnd(CallerScript script) throws Exception {
		survives(script, bodyConnections());
	}

	@Test
	public void chunkSizeWithoutEnd() throws Exception {
		survives(CallerScript.of("chunk size without end", wholeHead(POST, KEY, CHUNKED), "0", endlessBytes()),
				bodyConnections());
	}

	/**
	 * Lists connections that need a descriptor each and are not used.
	 * @return scripts
	 */
	@DataProvider
	public Object[][] connections() {
		CallerScript slow = CallerScript.of("head a byte at a time", "", head(POST, KEY), head(POST, KEY).length())
			.inPieces(1, 50);
		return new Object[][] { { CallerScript.of("silent", "", "x", 0) },
				{ CallerScript.of("idle after a request", wholeHead("GET /healthz"), "x", 0) },
				{ CallerScript.of("half a head", head(POST), "x", 0) }, { slow } };
	}

	@Test(dataProvider = "connections")
	public void moreConnectionsThanDescriptors(CallerScript script) throws Exception {
		survives(script, MANY_CONNECTIONS);
	}

	/**
	 * Lists connections that must be closed in the end, while a piece is sent now and
	 * then.
	 * @return scripts
	 */
	@DataProvider
	public Object[][] unused() {
		return new Object[][] { { CallerScript.of("silent", "", "x", 0) },
				{ CallerScript.of("idle after a request", wholeHead("GET /healthz"), "x", 0) },
				{ CallerScript.of("head a byte at a time", head(POST, KEY, "X-Long: "), "x", 4_096).inPieces(1, 0) },
				{ CallerScript.of("empty lines", "", "\r\n", 4_096).inPieces(1, 0) } };
	}

	@Test(dataProvider = "unused")
	public void unusedConnectionsAreClosed(CallerScript script) throws Exception {
		try (ScriptedCallers callers = ScriptedCallers.open(address(), 10, script)) {
			for (int count = 0; count < wholeHead("GET /healthz").length(); count++) {
				callers.sendPiece();
				Thread.sleep(5);
			}
			Await.until(script + " connections are closed", 90_000, () -> {
				Thread.sleep(250);
				callers.sendPiece();
				return callers.openCount() == 0;
			});
		}
		awaitAnswer();
		checkAll();
	}

	@Test
	public void largeAnswersThatAreNotRead() throws Exception {
		String body = "\"" + "x".repeat(900_000) + "\"";
		String start = wholeHead(POST, KEY, "X-Request-Class: " + TestConfiguration.ORDER_CLASS,
				"Content-Length: " + body.length());
		survives(CallerScript.of("large answers", start + body, "x", 0).withoutReading(), bodyConnections());
	}

	@Test
	public void streamsThatAreNotRead() throws Exception {
		String body = "{\"model\":\"" + TestConfiguration.MODEL
				+ "\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"len=500 unread\"}]}";
		String start = wholeHead(CHAT, KEY, "X-Request-Class: " + TestConfiguration.TOP_CLASS,
				"Content-Length: " + body.length());
		survives(CallerScript.of("unread streams", start + body, "x", 0).withoutReading(), 16);
	}

	@Test
	public void requestOfTheLargestSizeIsServed() throws Exception {
		String body = "\"" + "x".repeat(MAX_BODY_BYTES - 2) + "\"";
		HttpRequest request = ordinaryRequest().POST(HttpRequest.BodyPublishers.ofString(body)).build();
		HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
		Assert.assertNotEquals(response.statusCode(), 413, response.body());
		Assert.assertNotEquals(response.statusCode(), 503, response.body());
		checkAll();
	}

}
