package org.marjoramgw.platform;

import java.net.Socket;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

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
public class StreamResumeTests extends EventStreamFixture {

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

	private static void await(CountDownLatch latch) {
		try {
			latch.await(2, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
