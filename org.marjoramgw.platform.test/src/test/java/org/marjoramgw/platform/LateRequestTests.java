package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.policy.drain.DrainSchedule;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the answers to requests that are received late in a graceful stop, or are still
 * open at its end.
 *
 * @author The marjoramgw authors
 */
public class LateRequestTests {

	private static final String KEY = "Authorization: Token key-1\r\n";

	/** Timeout of the routes of the fixture. */
	private static final long ROUTE_TIMEOUT_MILLIS = 1_500;

	private static final int WAIT_SECONDS = 10;

	private final MillisClock clock = new SystemMillisClock();

	@DataProvider
	public Object[][] targets() {
		return new Object[][] { { "POST /book/1" }, { "POST /read/1" }, { "POST /stream/1" }, { "POST /resume/1" } };
	}

	/**
	 * Guards against a request that is passed on so late that the process ends before its
	 * answer.
	 */
	@Test(dataProvider = "targets")
	public void requestThatCouldOutlastTheProcessIsRefused(String target) throws Exception {
		try (ScriptedServer server = new ScriptedServer(LateRequestTests::respond);
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			fixture.forwarder().startDraining(schedule(ROUTE_TIMEOUT_MILLIS - 100));
			String response = fixture.call(target, KEY, "body");
			Assert.assertTrue(response.startsWith("HTTP/1.1 503 ") && response.contains("\"code\":2012"), response);
			Assert.assertTrue(response.contains("Retry-After: ") && response.contains("Connection: close"), response);
			Assert.assertEquals(server.requests().size(), 0);
		}
	}

	@Test(dataProvider = "targets")
	public void requestThatEndsInTimeIsServed(String target) throws Exception {
		try (ScriptedServer server = new ScriptedServer(LateRequestTests::respond);
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			fixture.forwarder().startDraining(schedule(WAIT_SECONDS * 1_000));
			Assert.assertTrue(fixture.call(target, KEY, "body").startsWith("HTTP/1.1 200 "));
			fixture.forwarder().startDraining(schedule(ROUTE_TIMEOUT_MILLIS - 100));
			String deadline = "X-Deadline-Ms: 500\r\n";
			Assert.assertTrue(fixture.call(target, KEY + deadline, "body").startsWith("HTTP/1.1 200 "));
		}
	}

	/**
	 * Guards against a connection that is closed without an answer at the end of the
	 * grace period.
	 */
	@Test(dataProvider = "targets")
	public void requestInFlightAtTheEndIsAnswered(String target) throws Exception {
		CountDownLatch received = new CountDownLatch(1);
		ScriptedServer.Script silent = (request, connection) -> {
			received.countDown();
			return false;
		};
		try (ScriptedServer server = new ScriptedServer(silent);
				ForwardingFixture fixture = new ForwardingFixture(server);
				Socket caller = fixture.open(target, KEY + "Connection: close\r\n", "body")) {
			Assert.assertTrue(received.await(WAIT_SECONDS, TimeUnit.SECONDS));
			fixture.forwarder().giveUpUnanswered();
			String response = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			Assert.assertTrue(response.startsWith("HTTP/1.1 502 ") && response.contains("\"code\":2023"), response);
			Assert.assertTrue(server.awaitDisconnect(WAIT_SECONDS * 1_000), "the server no longer has the request");
			Assert.assertEquals(fixture.forwarder().openCount(), 0);
		}
	}

	@Test
	public void streamThatHasBegunIsNotGivenUp() throws Exception {
		CountDownLatch given = new CountDownLatch(1);
		ScriptedServer.Script script = (request, connection) -> {
			ScriptedServer.write(connection,
					ScriptedServer.head("200 OK", request, "Content-Type: text/event-stream\r\n") + "id: 1\n\n");
			ScriptedServer.await(given, WAIT_SECONDS * 1_000);
			ScriptedServer.write(connection, "id: 2\n\n");
			connection.close();
			return false;
		};
		try (ScriptedServer server = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(server);
				Socket caller = fixture.open("POST /stream/1", KEY + "Connection: close\r\n", "body")) {
			Assert.assertEquals(ForwardingFixture.readStatus(caller), "HTTP/1.1 200");
			fixture.forwarder().giveUpUnanswered();
			given.countDown();
			String rest = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			Assert.assertTrue(rest.contains("id: 2") && rest.endsWith("0\r\n\r\n"), rest);
		}
	}

	private DrainSchedule schedule(long remainingMillis) {
		long nowMillis = this.clock.nowMillis();
		return new DrainSchedule(nowMillis, nowMillis + remainingMillis);
	}

	private static boolean respond(String request, Socket connection) throws IOException {
		return ScriptedServer.write(connection, ScriptedServer.head("200 OK", request, "Content-Length: 0\r\n"));
	}

}
