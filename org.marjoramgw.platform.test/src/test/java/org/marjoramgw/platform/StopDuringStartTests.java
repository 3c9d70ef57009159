package org.marjoramgw.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.marjoramgw.program.Pause;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests an entry process that gets signals while it starts and callers connect.
 *
 * @author The marjoramgw authors
 */
public class StopDuringStartTests {

	private static final int EARLY_CALLER_COUNT = 12;

	private static final int LATE_CALLER_COUNT = 4;

	private static final int LATE_MILLIS = 100;

	private static final int GRACE_SECONDS = 6;

	private static final int SIGTERM_EXIT_CODE = 143;

	private static final int ANSWER_TIMEOUT_MILLIS = 20_000;

	private static final int ROUND_COUNT = Integer.getInteger("stop.rounds", 1);

	/**
	 * Connections that hold back the others for 100 ms each, four at a time: longer than
	 * the grace period.
	 */
	private static final int INCOMPLETE_COUNT = 400;

	/** Start of a request that is more urgent than the others. */
	private static final String INCOMPLETE = "POST /book/1 HTTP/1.1\r\nHost: carob.example\r\n";

	private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: (\\d+)\r\n");

	/**
	 * Lists courses of signals.
	 * @return whether the store is there, and the signals with the time from the moment
	 * at which the process listens, in milliseconds
	 */
	@DataProvider
	public Object[][] courses() {
		return new Object[][] { { true, "TERM 0" }, { true, "TERM 30" }, { true, "TERM 200" }, { true, "TERM 700" },
				{ true, "TERM 20,TERM 200,TERM 1500" }, { false, "TERM 10" }, { false, "TERM 400" },
				{ true, "HUP 0,HUP 50,HUP 300,TERM 1000" } };
	}

	/**
	 * Guards against requests that a starting process reads and ends without answering.
	 */
	@Test(dataProvider = "courses")
	public void requestReadDuringTheStartIsAnswered(boolean storeIsThere, String signals) throws Exception {
		List<String> lost = new ArrayList<>();
		int lostStarts = 0;
		for (int round = 0; round < ROUND_COUNT; round++) {
			List<String> lostHere = lostAnswers(storeIsThere, signals);
			lostStarts += lostHere.isEmpty() ? 0 : 1;
			lost.addAll(lostHere);
		}
		Assert.assertTrue(lost.isEmpty(), lostStarts + " of " + ROUND_COUNT + " starts lost " + lost.size() + " of "
				+ ROUND_COUNT * (EARLY_CALLER_COUNT + LATE_CALLER_COUNT) + " requests: " + lost);
	}

	/** Guards against requests that wait unread until the end of a stop closes them. */
	@Test
	public void requestWaitingUnreadAtTheEndOfAStopIsAnswered() throws Exception {
		List<Socket> incomplete = new ArrayList<>();
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				StoreStandin store = store(server);
				StartedEntry entry = new StartedEntry(store.address(), GRACE_SECONDS)) {
			entry.connectAtOnce().close();
			entry.awaitReady();
			for (int index = 0; index < INCOMPLETE_COUNT; index++) {
				incomplete.add(entry.connect());
				incomplete.get(index).getOutputStream().write(INCOMPLETE.getBytes(StandardCharsets.ISO_8859_1));
			}
			List<CompletableFuture<String>> answers = new ArrayList<>();
			for (int index = 0; index < EARLY_CALLER_COUNT; index++) {
				answers.add(call(entry.connect(), "POST /stream/1"));
			}
			entry.signal("TERM");
			List<String> lost = unanswered(entry, answers);
			Assert.assertTrue(lost.isEmpty(), lost.toString());
		}
		finally {
			for (Socket each : incomplete) {
				each.close();
			}
		}
	}

	private static StoreStandin store(ScriptedServer server) throws IOException {
		return new StoreStandin(Map.of(StoreClient.OPERATOR_TOPIC, List.of(FixtureRecords.configuration()),
				StoreClient.SERVERS_TOPIC, FixtureRecords.registrations(server)));
	}

	private static List<String> unanswered(StartedEntry entry, List<CompletableFuture<String>> answers)
			throws Exception {
		List<String> lost = new ArrayList<>();
		for (CompletableFuture<String> answer : answers) {
			String text = answer.get(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			if (!isAnswer(text)) {
				lost.add(text + ", " + entry.lastLine());
			}
		}
		return lost;
	}

	private List<String> lostAnswers(boolean storeIsThere, String signals) throws Exception {
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				StoreStandin store = store(server);
				StartedEntry entry = new StartedEntry(storeIsThere ? store.address() : StartedEntry.freeAddress(),
						GRACE_SECONDS)) {
			Socket first = entry.connectAtOnce();
			long startNanos = System.nanoTime();
			List<CompletableFuture<String>> answers = new ArrayList<>();
			answers.add(call(first));
			for (int index = 1; index < EARLY_CALLER_COUNT; index++) {
				answers.add(call(entry.connect()));
			}
			long stopNanos = send(entry, signals, startNanos, answers);
			CompletableFuture<Boolean> everReady = CompletableFuture.supplyAsync(() -> isEverReady(entry));
			List<String> lost = unanswered(entry, answers);
			assertEndsInOrder(entry, stopNanos, everReady, lost);
			return lost;
		}
	}

	private static long send(StartedEntry entry, String signals, long startNanos,
			List<CompletableFuture<String>> answers) throws Exception {
		long stopNanos = 0;
		for (String signal : signals.split(",")) {
			String[] parts = signal.split(" ");
			pauseUntil(startNanos + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(parts[1])));
			entry.signal(parts[0]);
			if (parts[0].equals("TERM") && stopNanos == 0) {
				stopNanos = System.nanoTime();
				Pause.millis(LATE_MILLIS);
				for (int index = 0; index < LATE_CALLER_COUNT; index++) {
					callIfListening(entry).ifPresent(answers::add);
				}
			}
		}
		return stopNanos;
	}

	private static void assertEndsInOrder(StartedEntry entry, long stopNanos, CompletableFuture<Boolean> everReady,
			List<String> lost) throws Exception {
		long leftNanos = stopNanos + TimeUnit.SECONDS.toNanos(GRACE_SECONDS) - System.nanoTime();
		boolean ended = entry.process().waitFor(leftNanos, TimeUnit.NANOSECONDS);
		if (!lost.isEmpty()) {
			return;
		}
		Assert.assertTrue(ended, "still runs at the end of the grace period: " + entry.output());
		Assert.assertEquals(entry.process().exitValue(), SIGTERM_EXIT_CODE, entry.output());
		Assert.assertFalse(everReady.get(), "was ready after SIGTERM: " + entry.output());
	}

	private static boolean isEverReady(StartedEntry entry) {
		while (entry.process().isAlive()) {
			if (entry.isReady()) {
				return true;
			}
			Pause.millis(LATE_MILLIS);
		}
		return false;
	}

	private static void pauseUntil(long nanos) {
		Pause.millis(Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos - System.nanoTime())));
	}

	private static Optional<CompletableFuture<String>> callIfListening(StartedEntry entry) {
		try {
			return Optional.of(call(entry.connect()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	private static CompletableFuture<String> call(Socket caller) throws IOException {
		return call(caller, "POST /book/1");
	}

	private static CompletableFuture<String> call(Socket caller, String target) throws IOException {
		caller.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
		ForwardingFixture.send(caller, target, "Authorization: Token key-1\r\nConnection: close\r\n", "prompt");
		CompletableFuture<String> answer = new CompletableFuture<>();
		Thread reader = new Thread(() -> answer.complete(readToEnd(caller)), "caller");
		reader.setDaemon(true);
		reader.start();
		return answer;
	}

	private static String readToEnd(Socket caller) {
		try (caller) {
			return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			return ex.toString();
		}
	}

	private static boolean isAnswer(String text) {
		int headEnd = text.indexOf("\r\n\r\n");
		Matcher length = LENGTH.matcher(text);
		boolean whole = text.startsWith("HTTP/1.1 ") && headEnd >= 0 && length.find()
				&& Integer.parseInt(length.group(1)) == text.length() - headEnd - 4;
		return whole && (!text.startsWith("HTTP/1.1 503 ") || text.contains("\r\nRetry-After: "));
	}

}
