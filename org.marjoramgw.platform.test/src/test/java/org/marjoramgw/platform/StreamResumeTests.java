package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the stream of a resumable route goes on at another backend server when its
 * server fails.
 *
 * @author The marjoramgw authors
 */
public class StreamResumeTests {

	private static final String KEY = "Authorization: Token key-1\r\n";

	private static final String STREAM_HEADERS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

	private static final Pattern LAST_EVENT_ID = Pattern.compile("(?i)last-event-id: (\\d+)");

	private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: event \\1 ok\n\n");

	private static final int EVENT_COUNT = 6;

	/** Time for a first request in a process that has just started, on a busy machine. */
	private static final long START_SECONDS = 4;

	/** As many as the retry budget of the fixture allows to resume. */
	private static final int STREAM_COUNT = 50;

	@DataProvider
	public Object[][] faults() {
		String first = event(1);
		return new Object[][] { { "before the first event", "" }, { "after an event", chunk(first) },
				{ "in the middle of an event", chunk(first + "id: 2\ndata: ev") },
				{ "in the middle of a chunk", chunk(first) + "20\r\nid: 2\ndata: event 2 ok\n\ni" },
				{ "after the last event", chunk(events(1)) },
				{ "bytes that are no chunk", chunk(first) + "not a chunk\r\n" } };
	}

	@Test(dataProvider = "faults")
	public void streamContinuesOnAnotherServer(String description, String sentBeforeTheFault) throws Exception {
		ScriptedServer.Script script = breakingOffFirst((next) -> sentBeforeTheFault, (next) -> chunk(events(next)));
		try (ScriptedServer first = new ScriptedServer(script);
				ScriptedServer second = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			assertComplete(fixture.call("POST /resume/1", KEY, "prompt"), description);
			Assert.assertEquals(first.requests().size(), 1, description);
			Assert.assertEquals(second.requests().size(), 1, description);
		}
	}

	/**
	 * Each row: status line, further header lines and body of an answer that doesn't
	 * continue a stream.
	 * @return the rows
	 */
	@DataProvider
	public Object[][] otherAnswers() {
		String json = "Content-Type: application/json\r\n";
		String body = "{\"error\":\"out of memory\"}";
		String sized = "Content-Length: " + body.length() + "\r\n";
		return new Object[][] { { "500 Internal Server Error", json + sized, body },
				{ "404 Not Found", json + sized, body }, { "302 Found", json + sized, body },
				{ "503 Service Unavailable", json + sized, body }, { "500 Internal Server Error", json, body },
				{ "200 OK", json + sized, body }, { "200 OK", "Content-Type: text/plain\r\n" + sized, body },
				{ "200 OK", json, body }, { "200 OK", json + "Content-Length: 2\r\n", "\n\n" },
				{ "204 No Content", "", "" }, { "206 Partial Content", STREAM_HEADERS, chunk(events(2)) + "0\r\n\r\n" },
				{ "202 Accepted", json + sized, body } };
	}

	@Test(dataProvider = "otherAnswers")
	public void errorOfTheNextServerNeverEntersAStreamThatHasBegun(String status, String headers, String body)
			throws Exception {
		AtomicInteger requests = new AtomicInteger();
		ScriptedServer.Script script = (request, connection) -> {
			boolean first = requests.getAndIncrement() == 0;
			write(connection, first ? ScriptedServer.head("200 OK", request, STREAM_HEADERS) + chunk(event(1))
					: ScriptedServer.head(status, request, headers) + body);
			connection.close();
			return false;
		};
		try (ScriptedServer first = new ScriptedServer(script);
				ScriptedServer second = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			String response = fixture.call("POST /resume/1", KEY, "prompt");
			Assert.assertFalse(response.contains("0\r\n\r\n"), "looks complete: " + response);
			Assert.assertFalse(response.contains("error"), response);
			Assert.assertTrue(response.equals("reset") || eventIds(response).equals(List.of(1)), response);
		}
	}

	@DataProvider
	public Object[][] streamsThatEndInsideAnEvent() {
		String begun = event(1) + "id: 2\ndata: ev";
		String eventStream = "Content-Type: text/event-stream\r\n";
		return new Object[][] { { "/stream/1", eventStream, begun }, { "/resume/1", eventStream, begun },
				{ "/stream/1", STREAM_HEADERS, chunk(begun) + "0\r\n\r\n" },
				{ "/resume/1", STREAM_HEADERS, chunk(begun) + "0\r\n\r\n" },
				{ "/stream/1", eventStream + "Content-Length: " + begun.length() + "\r\n", begun },
				{ "/stream/1", eventStream, "id: 1\r\ndata: a\r\n\r" } };
	}

	@Test(dataProvider = "streamsThatEndInsideAnEvent")
	public void streamThatEndsInsideAnEventDoesNotLookComplete(String route, String headers, String body)
			throws Exception {
		ScriptedServer.Script script = (request, connection) -> {
			write(connection, ScriptedServer.head("200 OK", request, headers) + body);
			connection.close();
			return false;
		};
		try (ScriptedServer first = new ScriptedServer(script);
				ScriptedServer second = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			String response = fixture.call("POST " + route, KEY, "prompt");
			Assert.assertFalse(response.endsWith("0\r\n\r\n"), response);
		}
	}

	@Test
	public void streamWithoutLengthThatEndsAfterAnEventIsComplete() throws Exception {
		ScriptedServer.Script script = (request, connection) -> {
			write(connection,
					ScriptedServer.head("200 OK", request, "Content-Type: text/event-stream\r\n") + events(1));
			connection.close();
			return false;
		};
		for (String route : new String[] { "/resume/1", "/stream/1" }) {
			try (ScriptedServer server = new ScriptedServer(script);
					ForwardingFixture fixture = new ForwardingFixture(server)) {
				assertComplete(fixture.call("POST " + route, KEY, "prompt"), route);
			}
		}
	}

	@Test
	public void streamWithoutLengthThatEndsInsideAnEventContinuesOnAnotherServer() throws Exception {
		AtomicInteger requests = new AtomicInteger();
		ScriptedServer.Script script = (request, connection) -> {
			boolean first = requests.getAndIncrement() == 0;
			write(connection, ScriptedServer.head("200 OK", request, "Content-Type: text/event-stream\r\n")
					+ (first ? event(1) + "id: 2\ndata: ev" : events(lastEventId(request) + 1)));
			connection.close();
			return false;
		};
		try (ScriptedServer first = new ScriptedServer(script);
				ScriptedServer second = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			assertComplete(fixture.call("POST /resume/1", KEY, "prompt"), "cut inside an event");
		}
	}

	@Test
	public void callersOwnPositionIsReplacedByThePresentOne() throws Exception {
		ScriptedServer.Script script = breakingOffFirst((next) -> chunk(event(next)), (next) -> chunk(events(next)));
		try (ScriptedServer first = new ScriptedServer(script);
				ScriptedServer second = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			String response = fixture.call("POST /resume/1", KEY + "Last-Event-Id: 3\r\n", "prompt");
			Assert.assertEquals(eventIds(response), List.of(4, 5, 6), response);
		}
	}

	@Test
	public void eventsSentAgainReachTheCallerOnce() throws Exception {
		ScriptedServer.Script script = breakingOffFirst((next) -> chunk(event(1) + event(2)),
				(next) -> chunk(events(1)));
		try (ScriptedServer first = new ScriptedServer(script);
				ScriptedServer second = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			assertComplete(fixture.call("POST /resume/1", KEY, "prompt"), "sent again");
		}
	}

	@Test
	public void eventsWithCarriageReturnsArriveOneByOne() throws Exception {
		CountDownLatch received = new CountDownLatch(1);
		ScriptedServer.Script script = (request, connection) -> {
			write(connection, ScriptedServer.head("200 OK", request, STREAM_HEADERS)
					+ chunk("id: 1\r\ndata: one\r\n\r\nid: 2\r\n"));
			await(received);
			write(connection, chunk("data: two\r\n\r\n") + "0\r\n\r\n");
			return true;
		};
		for (String route : new String[] { "/resume/1", "/stream/1" }) {
			try (ScriptedServer server = new ScriptedServer(script);
					ForwardingFixture fixture = new ForwardingFixture(server);
					Socket caller = fixture.open("POST " + route, KEY, "prompt")) {
				StringBuilder response = new StringBuilder();
				while (response.indexOf("data: one\r\n\r\n") < 0) {
					int next = caller.getInputStream().read();
					Assert.assertTrue(next >= 0, "the connection ended: " + response);
					response.append((char) next);
				}
				Assert.assertFalse(response.toString().contains("two"), "the first event came before the second");
				received.countDown();
			}
		}
	}

	@Test
	public void streamThatFailsTwiceDoesNotLookComplete() throws Exception {
		ScriptedServer.Script failing = (request, connection) -> {
			write(connection,
					ScriptedServer.head("200 OK", request, STREAM_HEADERS) + chunk(event(lastEventId(request) + 1)));
			connection.close();
			return false;
		};
		try (ScriptedServer first = new ScriptedServer(failing);
				ScriptedServer second = new ScriptedServer(failing);
				ScriptedServer third = new ScriptedServer(failing);
				ForwardingFixture fixture = new ForwardingFixture(first, second, third)) {
			String response = fixture.call("POST /resume/1", KEY, "prompt");
			Assert.assertFalse(response.contains("\r\n0\r\n"), response);
			int runs = first.requests().size() + second.requests().size() + third.requests().size();
			Assert.assertEquals(runs, 2, "the route allows two attempts");
		}
	}

	@Test
	public void streamOfAnotherRouteIsNotResumed() throws Exception {
		ScriptedServer.Script failing = (request, connection) -> {
			write(connection, ScriptedServer.head("200 OK", request, STREAM_HEADERS) + chunk(event(1)));
			connection.close();
			return false;
		};
		try (ScriptedServer first = new ScriptedServer(failing);
				ScriptedServer second = new ScriptedServer(failing);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			String response = fixture.call("POST /stream/1", KEY, "prompt");
			Assert.assertFalse(response.contains("\r\n0\r\n"), response);
			Assert.assertEquals(first.requests().size() + second.requests().size(), 1);
		}
	}

	@Test
	public void callerThatLeavesDuringTheSearchEndsTheRequest() throws Exception {
		AtomicInteger requests = new AtomicInteger();
		CountDownLatch continued = new CountDownLatch(1);
		CountDownLatch cancelled = new CountDownLatch(1);
		ScriptedServer.Script script = (request, connection) -> {
			if (requests.getAndIncrement() == 0) {
				write(connection, ScriptedServer.head("200 OK", request, STREAM_HEADERS) + chunk(event(1)));
				connection.close();
				return false;
			}
			continued.countDown();
			try {
				connection.getInputStream().read();
			}
			finally {
				cancelled.countDown();
			}
			return false;
		};
		try (ScriptedServer first = new ScriptedServer(script);
				ScriptedServer second = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(first, second);
				Socket caller = fixture.open("POST /resume/1", KEY, "prompt")) {
			Assert.assertTrue(continued.await(START_SECONDS, TimeUnit.SECONDS), "the stream continues");
			caller.close();
			Assert.assertTrue(cancelled.await(1, TimeUnit.SECONDS), "the request at the second server is cancelled");
		}
	}

	@Test
	public void streamsCutAtRandomBytesStayCompleteAndInOrder() throws Exception {
		Random random = TestSeed.random(23);
		AtomicInteger requests = new AtomicInteger();
		ScriptedServer.Script script = (request, connection) -> {
			int last = lastEventId(request);
			String body = chunk(events(last + 1, last + 1)) + chunk(events(last + 2, EVENT_COUNT));
			if (requests.getAndIncrement() % 2 == 1) {
				write(connection, ScriptedServer.head("200 OK", request, STREAM_HEADERS) + body + "0\r\n\r\n");
				return true;
			}
			int length;
			synchronized (random) {
				length = random.nextInt(body.length());
			}
			write(connection, ScriptedServer.head("200 OK", request, STREAM_HEADERS) + body.substring(0, length));
			connection.close();
			return true;
		};
		try (ScriptedServer first = new ScriptedServer(script);
				ScriptedServer second = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			for (int stream = 0; stream < STREAM_COUNT; stream++) {
				assertComplete(fixture.call("POST /resume/1", KEY, "prompt"), "stream " + stream);
			}
		}
	}

	/**
	 * Returns a script for several servers that breaks off the first stream and completes
	 * the others.
	 * @param firstBody body of the first stream up to the fault, by the id of its first
	 * event
	 * @param otherBody body of the others, without the last chunk
	 * @return the script
	 */
	private static ScriptedServer.Script breakingOffFirst(IntFunction<String> firstBody,
			IntFunction<String> otherBody) {
		AtomicInteger requests = new AtomicInteger();
		return (request, connection) -> {
			boolean fails = requests.getAndIncrement() == 0;
			int next = lastEventId(request) + 1;
			write(connection, ScriptedServer.head("200 OK", request, STREAM_HEADERS)
					+ (fails ? firstBody.apply(next) : otherBody.apply(next) + "0\r\n\r\n"));
			if (fails) {
				connection.close();
			}
			return !fails;
		};
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(2, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void assertComplete(String response, String description) {
		Assert.assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("0\r\n\r\n"),
				description + ": " + response);
		Assert.assertEquals(eventIds(response), IntStream.rangeClosed(1, EVENT_COUNT).boxed().toList(),
				description + ": " + response);
	}

	private static List<Integer> eventIds(String response) {
		String body = response.replaceAll("(?s)^.*?\r\n\r\n", "")
			.replaceAll("(?m)^[0-9a-f]+\r\n", "")
			.replace("\r\n", "");
		Assert.assertEquals(EVENT.matcher(body).replaceAll(""), "", "only complete events: " + response);
		return EVENT.matcher(body).results().map((event) -> Integer.valueOf(event.group(1))).toList();
	}

	private static int lastEventId(String request) {
		Matcher id = LAST_EVENT_ID.matcher(request);
		return id.find() ? Integer.parseInt(id.group(1)) : 0;
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: event " + id + " ok\n\n";
	}

	private static String events(int firstId) {
		return events(firstId, EVENT_COUNT);
	}

	private static String events(int firstId, int lastId) {
		StringBuilder events = new StringBuilder();
		IntStream.rangeClosed(firstId, Math.min(lastId, EVENT_COUNT)).forEach((id) -> events.append(event(id)));
		return events.toString();
	}

	private static String chunk(String data) {
		return data.isEmpty() ? "" : Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
	}

	private static void write(Socket connection, String bytes) throws IOException {
		connection.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
		connection.getOutputStream().flush();
	}

}
