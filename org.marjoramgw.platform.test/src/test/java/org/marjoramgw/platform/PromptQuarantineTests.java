package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import com.codahale.metrics.MetricRegistry;
import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.ReadSchedule;
import org.marjoramgw.direct.follow.TopicFollower;
import org.marjoramgw.direct.quarantine.PromptGuard;
import org.marjoramgw.direct.quarantine.QuarantineGuard;
import org.marjoramgw.http.HttpConnector;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.policy.quarantine.Quarantine;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.Timers;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that prompts which crash backend servers are kept away from them.
 *
 * @author The marjoramgw authors
 */
public class PromptQuarantineTests {

	private static final String KEY = "Authorization: Token key-1\r\nX-Model: m\r\nX-Token-Usage: 100,10\r\n";

	private static final int SERVER_COUNT = 9;

	/** Prompts that may reach servers before the bad part is known. */
	private static final int MAX_CRASHES = 6;

	private static final long SPACING_MILLIS = 400;

	private MemoryTopic topic;

	@BeforeMethod
	public void create() {
		this.topic = new MemoryTopic();
	}

	@Test
	public void promptPartThatCrashesServersReachesNoMoreServers() throws Exception {
		List<ScriptedServer> servers = new ArrayList<>();
		for (int server = 0; server < SERVER_COUNT; server++) {
			servers.add(crashingServer("bad"));
		}
		ScriptedServer[] all = servers.toArray(new ScriptedServer[0]);
		try (ForwardingFixture first = new ForwardingFixture(guard("entry-1"), all);
				ForwardingFixture second = new ForwardingFixture(guard("entry-2"), all)) {
			String last = "";
			for (int request = 0; request < SERVER_COUNT - 1; request++) {
				sendSound(first, request);
				sendSound(second, request);
				last = ((request % 2 == 0) ? first : second).call("POST /stream/1",
						KEY + parts("shared", "bad", request), "prompt");
				Thread.sleep(SPACING_MILLIS);
				deregisterCrashed(servers, first, second);
			}
			Assert.assertTrue(last.startsWith("HTTP/1.1 400 ") && last.contains("\"code\":2022"), last);
			Assert.assertFalse(last.contains("Retry-After"), last);
			long crashed = servers.stream().filter((server) -> sawPart(server, "bad")).count();
			Assert.assertTrue(crashed >= 3 && crashed <= MAX_CRASHES, crashed + " servers crashed");
			sendSound(first, SERVER_COUNT);
			sendSound(second, SERVER_COUNT);
		}
		finally {
			closeAll(servers);
		}
	}

	@Test
	public void requestThatMayHaveCrashedItsServerIsNotSentToAnother() throws Exception {
		List<ScriptedServer> servers = List.of(crashingServer("bad"), crashingServer("bad"));
		try (ForwardingFixture fixture = new ForwardingFixture(guard("entry-1"),
				servers.toArray(new ScriptedServer[0]))) {
			String response = fixture.call("POST /read/1", KEY + parts("shared", "bad", 1), "prompt");
			Assert.assertTrue(response.startsWith("HTTP/1.1 502 "), response);
			Assert.assertEquals(servers.stream().filter((server) -> sawPart(server, "bad")).count(), 1);
		}
		finally {
			closeAll(servers);
		}
	}

	@Test
	public void promptThatWaitsAtAServerIsTakenBackAtTheVerdict() throws Exception {
		ScriptedServer silent = new ScriptedServer((request, connection) -> {
			if (request.contains(",bad:")) {
				write(connection, ScriptedServer.head("200 OK", request,
						"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
			}
			return false;
		});
		try (ForwardingFixture fixture = new ForwardingFixture(guard("entry-1"), silent);
				Socket caller = fixture.open("POST /stream/1", KEY + parts("shared", "bad", 1), "prompt")) {
			while (silent.requests().isEmpty()) {
				Thread.sleep(5);
			}
			this.topic.append(List.of(new KeyedRecord("verdict/m/bad",
					Optional.of("{\"term\":1,\"author\":\"entry-2\"}".getBytes(StandardCharsets.UTF_8)), 0)));
			Assert.assertTrue(silent.awaitDisconnect(1_000), "the server no longer has the request");
			String response = fixture.call("POST /stream/1", KEY + parts("shared", "bad", 2), "prompt");
			Assert.assertTrue(response.startsWith("HTTP/1.1 400 "), response);
			Assert.assertEquals(silent.requests().size(), 1);
		}
		finally {
			silent.close();
		}
	}

	@Test
	public void requestWithKnownPartsIsSentToAnotherServer() throws Exception {
		ScriptedServer.Script crashOnce = (request, connection) -> {
			throw new IOException("crash");
		};
		ScriptedServer crashing = new ScriptedServer(crashOnce);
		ScriptedServer sound = crashingServer("bad");
		try (ForwardingFixture fixture = new ForwardingFixture(guard("entry-1"), crashing, sound)) {
			for (int request = 0; request < 6; request++) {
				fixture.call("POST /read/1", KEY + parts("shared", "known", request), "prompt");
			}
			crashing.close();
			String response = fixture.call("POST /read/1", KEY + parts("shared", "known", 9), "prompt");
			Assert.assertTrue(response.startsWith("HTTP/1.1 200 "), response);
		}
		finally {
			closeAll(List.of(crashing, sound));
		}
	}

	private static void deregisterCrashed(List<ScriptedServer> servers, ForwardingFixture... fixtures) {
		for (int server = 0; server < servers.size(); server++) {
			if (sawPart(servers.get(server), "bad")) {
				for (ForwardingFixture fixture : fixtures) {
					fixture.deregister(server);
				}
			}
		}
	}

	private ForwardingFixture.GuardFactory guard(String processId) {
		return (connector, health, timers) -> startGuard(processId, connector, health, timers);
	}

	private PromptGuard startGuard(String processId, HttpConnector connector, ServerHealth health, Timers timers) {
		MillisClock clock = new SystemMillisClock();
		Backoff backoff = new Backoff(50, 200, new Random(1));
		QuarantineGuard guard = new QuarantineGuard(processId,
				new Quarantine(processId, clock, System::currentTimeMillis, new Random(1)), this.topic, connector,
				health, clock, timers, backoff);
		new TopicFollower("quarantine", this.topic, guard, new AgeClock(clock, clock), timers,
				new ReadSchedule(1_000, 50, backoff), new ResultCounters(new MetricRegistry()), () -> {
				})
			.start();
		guard.start();
		return guard;
	}

	private static void sendSound(ForwardingFixture fixture, int number) throws IOException {
		for (int request = 0; request < 3; request++) {
			String response = fixture.call("POST /resume/1", KEY + parts("shared", "sound-" + number, request),
					"prompt");
			Assert.assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("0\r\n\r\n"), response);
		}
	}

	private static String parts(String first, String second, int number) {
		return "X-Prompt-Prefix: " + first + ":50," + second + ":40," + "p" + number + ":10\r\n";
	}

	private static boolean sawPart(ScriptedServer server, String part) {
		return server.requests().stream().anyMatch((request) -> request.contains("," + part + ":"));
	}

	/**
	 * Creates a server that ends, with its connections, as it begins to answer a prompt.
	 * @param part the part of the prompt
	 * @return the server
	 * @throws IOException if the server can't listen
	 */
	private static ScriptedServer crashingServer(String part) throws IOException {
		ScriptedServer[] self = new ScriptedServer[1];
		self[0] = new ScriptedServer((request, connection) -> {
			String head = ScriptedServer.head("200 OK", request,
					"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
			if (request.contains("," + part + ":")) {
				write(connection, head);
				self[0].close();
				connection.close();
				return false;
			}
			write(connection, head + event(1));
			write(connection, event(2) + "0\r\n\r\n");
			return true;
		});
		return self[0];
	}

	private static String event(int id) {
		String event = "id: " + id + "\ndata: ok\n\n";
		return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
	}

	private static void write(Socket connection, String text) throws IOException {
		connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
		connection.getOutputStream().flush();
	}

	private static void closeAll(List<ScriptedServer> servers) throws IOException {
		for (ScriptedServer server : servers) {
			server.close();
		}
	}

}
