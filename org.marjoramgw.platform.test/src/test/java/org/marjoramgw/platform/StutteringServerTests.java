package org.marjoramgw.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Pattern;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.tinylog.Logger;

/**
 * Many callers of a server that answers more than once at random. The system property
 * {@code stutter.seconds} sets how long it takes.
 *
 * @author The marjoramgw authors
 */
public class StutteringServerTests {

	private static final int CALLERS = 12;

	private static final long DEFAULT_SECONDS = 4;

	@Test
	public void noCallerGetsTheAnswerOfAnotherRequest() throws Exception {
		long endNanos = System.nanoTime() + Long.getLong("stutter.seconds", DEFAULT_SECONDS) * 1_000_000_000;
		StutteringServer script = new StutteringServer(TestSeed.random(36));
		AtomicInteger calls = new AtomicInteger();
		AtomicInteger failed = new AtomicInteger();
		ConcurrentLinkedQueue<String> wrong = new ConcurrentLinkedQueue<>();
		try (ScriptedServer server = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			List<Thread> callers = new ArrayList<>();
			for (int index = 0; index < CALLERS; index++) {
				Random random = TestSeed.random(3_600 + index);
				callers.add(new DaemonThreadFactory("caller").newThread(() -> {
					while (System.nanoTime() < endNanos) {
						call(fixture, script, random, calls, failed, wrong);
					}
				}));
			}
			callers.forEach(Thread::start);
			for (Thread caller : callers) {
				caller.join();
			}
		}
		Logger.info("stuttering server: calls={} failed={} wrong={}", calls, failed, wrong.size());
		Assert.assertTrue(calls.get() > 0);
		Assert.assertEquals(wrong.size(), 0, "of " + calls + ": " + wrong.peek());
	}

	private static void call(ForwardingFixture fixture, StutteringServer script, Random random, AtomicInteger calls,
			AtomicInteger failed, ConcurrentLinkedQueue<String> wrong) {
		String path = "p" + calls.incrementAndGet();
		String id = (random.nextInt(5) == 0) ? "again" + random.nextInt(10) : "id" + path;
		try {
			String response = fixture.call("GET /read/" + path,
					"X-Request-Id: " + id + "\r\nAuthorization: Token key-1\r\n", "");
			String answer = script.answer(path);
			boolean own = answer != null && response.startsWith("HTTP/1.1 " + answer.substring(0, 4))
					&& response.contains("X-Response-Stamp: " + path + "\r\n")
					&& response.split(Pattern.quote("X-Response-Stamp"), -1).length == 2
					&& response.endsWith("\r\n\r\n" + answer.substring(4));
			boolean notRun = response.startsWith("HTTP/1.1 503 ") && answer == null;
			boolean unknown = response.startsWith("HTTP/1.1 502 ") || response.startsWith("HTTP/1.1 504 ");
			if (!own) {
				failed.incrementAndGet();
			}
			if (!own && !unknown && !notRun) {
				wrong.add("expected " + answer + ", got " + response);
			}
		}
		catch (IOException ex) {
			wrong.add(ex.toString());
		}
	}

}
