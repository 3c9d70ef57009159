package org.marjoramgw.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.model.headers.RawRequestURI;
import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.direct.caller.CallerConnection;
import org.marjoramgw.time.ClockReading;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests requests that wait unread: before the process serves callers, in the queue of
 * connections to be opened, or on a kept connection behind another request.
 *
 * @author The marjoramgw authors
 */
public class WaitingRequestTests {

	private static final String KEY = "Authorization: Token key-1\r\n";

	/** Longest time between the end of a request's time and its answer. */
	private static final long ANSWER_MILLIS = 500;

	/** Deadline of callers, less than the timeout of the routes of the fixture. */
	private static final long DEADLINE_MILLIS = 1_400;

	private static final long ROUTE_TIMEOUT_MILLIS = 1_500;

	private static final long WAIT_MILLIS = 600;

	/** Time after which the acceptor has read what was sent. */
	private static final long READ_MILLIS = 50;

	/** Connections that occupy the queue for 2.5 s: four at a time for 100 ms each. */
	private static final int QUEUE_LENGTH = 100;

	/** Requests beyond those that are opened at once. */
	private static final int UNLIMITED_COUNT = 12;

	private static final Pattern DEADLINE_HEADER = Pattern.compile("(?i)x-deadline-ms: (\\d+)");

	private static final int WAIT_SECONDS = 10;

	private final MillisClock clock = new SystemMillisClock();

	@DataProvider
	public Object[][] targets() {
		return new Object[][] { { "POST /book/1" }, { "GET /read/1" }, { "POST /stream/1" }, { "POST /resume/1" } };
	}

	@Test(dataProvider = "targets")
	public void deadlineOfRequestThatWaitedForTheStartEndsWithTheCallers(String target) throws Exception {
		List<Socket> callers = new ArrayList<>();
		long[] waitedMillis = { 0 };
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture((early) -> {
					callers.add(early.open(target, KEY + deadline(DEADLINE_MILLIS), ""));
					pause(READ_MILLIS);
					waitedMillis[0] = pause(WAIT_MILLIS);
				}, server)) {
			Assert.assertEquals(ForwardingFixture.readStatus(callers.get(0)), "HTTP/1.1 200");
			Assert.assertTrue(deadlineMillis(server, 0) + waitedMillis[0] <= DEADLINE_MILLIS,
					deadlineMillis(server, 0) + " ms after " + waitedMillis[0] + " ms");
		}
		finally {
			ForwardingFixture.closeAll(callers);
		}
	}

	@Test(dataProvider = "targets")
	public void deadlineOfRequestReadAheadOnKeptConnectionEndsWithTheCallers(String target) throws Exception {
		CountDownLatch firstReceived = new CountDownLatch(1);
		CountDownLatch mayAnswer = new CountDownLatch(1);
		ScriptedServer.Script script = (request, connection) -> {
			if (request.startsWith("POST /long-book/")) {
				firstReceived.countDown();
				await(mayAnswer);
			}
			return ScriptedServer.respondGood(request, connection);
		};
		try (ScriptedServer server = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(server);
				Socket caller = fixture.open("POST /long-book/1", KEY, "first")) {
			await(firstReceived);
			ForwardingFixture.send(caller, target, KEY + deadline(DEADLINE_MILLIS), "");
			pause(READ_MILLIS);
			long waitedMillis = pause(WAIT_MILLIS);
			mayAnswer.countDown();
			Assert.assertEquals(ForwardingFixture.readStatus(caller), "HTTP/1.1 200");
			server.awaitRequests(2, TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
			Assert.assertTrue(deadlineMillis(server, 1) + waitedMillis <= DEADLINE_MILLIS,
					deadlineMillis(server, 1) + " ms after " + waitedMillis + " ms");
		}
	}

	@DataProvider
	public Object[][] times() {
		return new Object[][] { { deadline(500), 500 }, { "", ROUTE_TIMEOUT_MILLIS } };
	}

	@Test(dataProvider = "times")
	public void requestWhoseTimeEndsInTheQueueIsAnsweredInTime(String deadline, long timeMillis) throws Exception {
		List<Socket> callers = new ArrayList<>();
		long[] sentMillis = { 0 };
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture((early) -> {
					sentMillis[0] = this.clock.nowMillis();
					callers.add(early.open("POST /book/late", KEY + deadline, "order"));
					pause(READ_MILLIS);
					openIncomplete(early, callers);
				}, server)) {
			Socket caller = callers.get(0);
			Assert.assertEquals(ForwardingFixture.readStatus(caller), "HTTP/1.1 503");
			long tookMillis = this.clock.nowMillis() - sentMillis[0];
			Assert.assertTrue(tookMillis <= timeMillis + ANSWER_MILLIS, "answered after " + tookMillis + " ms");
			String rest = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			Assert.assertTrue(rest.contains("Retry-After: ") && rest.contains("X-Request-Id: r1\r\n"), rest);
			Assert.assertTrue(rest.contains("\"code\":2020"), rest);
			Assert.assertEquals(server.requests(), List.of());
		}
		finally {
			ForwardingFixture.closeAll(callers);
		}
	}

	@Test
	public void requestsWithoutALimitOnTheirTimeAreAnswered() throws Exception {
		List<Socket> callers = new ArrayList<>();
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture((early) -> {
					for (int number = 0; number < UNLIMITED_COUNT; number++) {
						callers.add(early.open("GET /unknown/1", deadline(Long.MAX_VALUE), ""));
					}
					pause(READ_MILLIS);
				}, server)) {
			for (Socket caller : callers) {
				Assert.assertEquals(ForwardingFixture.readStatus(caller), "HTTP/1.1 404");
			}
		}
		finally {
			ForwardingFixture.closeAll(callers);
		}
	}

	@Test
	public void requestWhoseTimeEndedBeforeTheStartIsAnsweredAtOnce() throws Exception {
		List<Socket> callers = new ArrayList<>();
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture((early) -> {
					callers.add(early.open("POST /book/late", KEY + deadline(WAIT_MILLIS / 2), "order"));
					pause(READ_MILLIS);
					openIncomplete(early, callers);
					pause(WAIT_MILLIS);
				}, server)) {
			long servedMillis = this.clock.nowMillis();
			Assert.assertEquals(ForwardingFixture.readStatus(callers.get(0)), "HTTP/1.1 503");
			long tookMillis = this.clock.nowMillis() - servedMillis;
			Assert.assertTrue(tookMillis <= ANSWER_MILLIS, "answered after " + tookMillis + " ms");
			Assert.assertEquals(server.requests(), List.of());
		}
		finally {
			ForwardingFixture.closeAll(callers);
		}
	}

	@Test
	public void requestOfCallerThatLeftTheQueueIsNotForwarded() throws Exception {
		List<Socket> callers = new ArrayList<>();
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture((early) -> {
					callers.add(early.open("GET /read/gone", KEY, ""));
					pause(READ_MILLIS);
					openIncomplete(early, callers);
				}, server)) {
			pause(WAIT_MILLIS);
			ForwardingFixture.closeAll(callers);
			Assert.assertTrue(fixture.call("GET /read/stays", KEY, "").startsWith("HTTP/1.1 200 "));
			Assert.assertEquals(server.requests().size(), 1);
		}
		finally {
			ForwardingFixture.closeAll(callers);
		}
	}

	@Test(dataProvider = "targets")
	public void requestWithUnfinishedBodyIsAnsweredInTime(String target) throws Exception {
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture(server);
				Socket caller = fixture.connect(0)) {
			String head = target + " HTTP/1.1\r\nHost: carob.example\r\nX-Request-Id: r1\r\nContent-Length: 10\r\n";
			caller.getOutputStream().write((head + KEY + "\r\nhalf").getBytes(StandardCharsets.ISO_8859_1));
			long sentMillis = this.clock.nowMillis();
			Assert.assertEquals(ForwardingFixture.readStatus(caller), "HTTP/1.1 503");
			long tookMillis = this.clock.nowMillis() - sentMillis;
			Assert.assertTrue(tookMillis <= ROUTE_TIMEOUT_MILLIS + ANSWER_MILLIS, "answered after " + tookMillis);
			String rest = readUntilClosed(caller);
			Assert.assertTrue(rest.contains("Retry-After: ") && !rest.contains("HTTP/1.1"), rest);
			Assert.assertEquals(server.requests(), List.of());
		}
	}

	/**
	 * The monotonic clock stands still while the VM is suspended.
	 */
	@Test
	public void requestThatWaitedInSuspendedVmIsNotForwarded() throws Exception {
		long nowMillis = this.clock.nowMillis();
		ClockReading arrived = new ClockReading(nowMillis, nowMillis - ROUTE_TIMEOUT_MILLIS);
		HttpRequest request = HttpRequest.GET("/read/1")
			.addHeader(RawRequestURI.create("/read/1"))
			.addHeader(RawHeader.create("Host", "carob.example"))
			.addHeader(RawHeader.create("Authorization", "Token key-1"));
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			CallerConnection connection = new CallerConnection(new FakeCallerSocket(arrived, false));
			HttpResponse response = fixture.forwarder()
				.handle(request, connection)
				.toCompletableFuture()
				.get(WAIT_SECONDS, TimeUnit.SECONDS);
			Assert.assertEquals(response.status().intValue(), 503);
			Assert.assertEquals(server.requests(), List.of());
		}
	}

	/**
	 * Opens connections whose heads never end, so that each is opened for as long as a
	 * connection can be. They go before what arrived earlier.
	 */
	private static void openIncomplete(ForwardingFixture fixture, List<Socket> callers) throws IOException {
		String incomplete = "POST /book/waits HTTP/1.1\r\nHost: carob.example\r\n";
		for (int number = 0; number < QUEUE_LENGTH; number++) {
			Socket caller = fixture.connect(0);
			caller.getOutputStream().write(incomplete.getBytes(StandardCharsets.ISO_8859_1));
			callers.add(caller);
		}
	}

	private static String deadline(long millis) {
		return "X-Deadline-Ms: " + millis + "\r\n";
	}

	private static long deadlineMillis(ScriptedServer server, int index) {
		Matcher deadline = DEADLINE_HEADER.matcher(server.requests().get(index));
		Assert.assertTrue(deadline.find(), server.requests().get(index));
		return Long.parseLong(deadline.group(1));
	}

	/**
	 * Sends the rest of a body, and another request, after the answer has come.
	 */
	private static String readUntilClosed(Socket caller) throws IOException {
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		try {
			caller.getOutputStream().write("finish".getBytes(StandardCharsets.ISO_8859_1));
			ForwardingFixture.send(caller, "GET /read/2", KEY, "");
			caller.getInputStream().transferTo(received);
		}
		catch (SocketException ex) {
			// The connection was closed before the bytes came.
		}
		return received.toString(StandardCharsets.ISO_8859_1);
	}

	private long pause(long millis) throws InterruptedException {
		long startMillis = this.clock.nowMillis();
		Thread.sleep(millis);
		return this.clock.nowMillis() - startMillis;
	}

	private static void await(CountDownLatch latch) throws IOException {
		Assert.assertTrue(ScriptedServer.await(latch, WAIT_SECONDS * 1_000));
	}

}
