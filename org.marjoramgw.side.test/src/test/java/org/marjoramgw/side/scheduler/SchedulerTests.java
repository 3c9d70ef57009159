package org.marjoramgw.side.scheduler;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BiConsumer;

import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimDecision;
import org.marjoramgw.claim.RecordedResult;
import org.marjoramgw.side.scheduler.SchedulerBench.Link;
import org.marjoramgw.wire.Message;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link Scheduler} by message sequences.
 *
 * @author The marjoramgw authors
 */
public class SchedulerTests {

	@DataProvider
	public Object[][] refusals() {
		return new Object[][] {
				{ "body without a reservation", ResultCode.UNKNOWN_RESERVATION, 0,
						steps((bench, link) -> bench.run(link, "r")) },
				{ "body after the grant timeout", ResultCode.GRANT_EXPIRED, 0, steps((bench, link) -> {
					bench.reserve(link, "r", "reply");
					bench.pass(SchedulerBench.HOLD_MILLIS + 1);
					bench.run(link, "r");
				}) },
				{ "body after the grant timeout, no tick between", ResultCode.GRANT_EXPIRED, 0, steps((bench, link) -> {
					bench.reserve(link, "r", "reply");
					bench.clock.advanceMillis(SchedulerBench.HOLD_MILLIS + 1);
					bench.run(link, "r");
				}) }, { "body after a release", ResultCode.RELEASED, 0, steps((bench, link) -> {
					bench.reserve(link, "r", "reply");
					bench.send(link, new Message.Release("r", 1));
					bench.run(link, "r");
				}) }, { "body after a cancel", ResultCode.CANCELLED_BEFORE_START, 0, steps((bench, link) -> {
					bench.reserve(link, "r", "reply");
					bench.send(link, new Message.Cancel("r", 1));
					bench.run(link, "r");
				}) }, { "reservation after a cancel that overtook it", ResultCode.CANCELLED_BEFORE_START, 0,
						steps((bench, link) -> {
							bench.send(link, new Message.Cancel("r", 1));
							bench.reserve(link, "r", "reply");
						}) },
				{ "cancel of a queued request", ResultCode.CANCELLED_BEFORE_START, 2, steps((bench, link) -> {
					bench.start(link, "a", "reply");
					bench.start(link, "b", "reply");
					bench.reserve(link, "r", "reply");
					bench.send(link, new Message.Cancel("r", 1));
				}) }, { "cancel of a running request", ResultCode.CANCELLED_IN_FLIGHT, 1, steps((bench, link) -> {
					bench.start(link, "r", "reply");
					bench.send(link, new Message.Cancel("r", 1));
				}) }, { "cancel of an acknowledged request", ResultCode.CANCELLED_IN_FLIGHT, 1, steps((bench, link) -> {
					bench.start(link, "r", "reply");
					bench.end("r");
					bench.send(link, new Message.Ack("r", 1, 1));
					bench.send(link, new Message.Cancel("r", 1));
				}) }, { "body repeated after the answer was acknowledged", ResultCode.ANSWER_NOT_KEPT, 1,
						steps((bench, link) -> {
							bench.start(link, "r", "reply");
							bench.end("r");
							bench.send(link, new Message.Ack("r", 1, 1));
							bench.run(link, "r");
						}) },
				{ "queue of the class is full", ResultCode.QUEUE_FULL, 2, steps((bench, link) -> {
					bench.start(link, "a", "reply");
					bench.start(link, "b", "reply");
					for (int number = 0; number < 5; number++) {
						bench.reserve(link, "r" + number, "reply");
					}
				}) }, { "latest start passes in the queue", ResultCode.DEADLINE_UNREACHABLE, 2, steps((bench, link) -> {
					bench.start(link, "a", "reply");
					bench.start(link, "b", "reply");
					bench.reserve(link, "r", "reply");
					bench.pass(4_001);
				}) }, { "deadline passes in flight", ResultCode.DEADLINE_IN_FLIGHT, 1, steps((bench, link) -> {
					bench.start(link, "r", "reply");
					bench.pass(20_001);
				}) },
				{ "unknown class", ResultCode.NOT_SERVED_HERE, 0,
						steps((bench, link) -> bench.reserve(link, "r", "other")) },
				{ "body over the bound", ResultCode.BODY_TOO_LARGE, 0, steps((bench, link) -> {
					bench.reserve(link, "r", "reply");
					bench.send(link, new Message.Run("r", 1, new org.marjoramgw.wire.BackendCall("POST", "/",
							"application/json", new byte[2_000], "", true, "")));
				}) }, { "engine breaks off", ResultCode.BACKEND_BROKE_OFF, 1, steps((bench, link) -> {
					bench.start(link, "r", "reply");
					bench.token("r", "t ");
					bench.fail("r", ResultCode.BACKEND_BROKE_OFF);
				}) }, { "engine can't be reached", ResultCode.BACKEND_UNREACHABLE, 1, steps((bench, link) -> {
					bench.start(link, "r", "reply");
					bench.fail("r", ResultCode.BACKEND_UNREACHABLE);
				}) }, { "reservation just after that", ResultCode.BACKEND_UNREACHABLE, 1, steps((bench, link) -> {
					bench.start(link, "r", "reply");
					bench.fail("r", ResultCode.BACKEND_UNREACHABLE);
					bench.reserve(link, "s", "reply");
				}) }, { "reservation while leaving", ResultCode.SIDE_LEAVING, 0, steps((bench, link) -> {
					bench.handle(new SchedulerCommand.Drain());
					bench.reserve(link, "r", "reply");
				}) }, { "queued request when leaving", ResultCode.SIDE_LEAVING, 2, steps((bench, link) -> {
					bench.start(link, "a", "reply");
					bench.start(link, "b", "reply");
					bench.reserve(link, "r", "reply");
					bench.handle(new SchedulerCommand.Drain());
				}) },
				{ "resumption of something unknown", ResultCode.ANSWER_NOT_KEPT, 0,
						steps((bench, link) -> bench.send(link, new Message.Resume("r", 1, 0))) },
				{ "resumption of a body that never came", ResultCode.GRANT_EXPIRED, 0, steps((bench, link) -> {
					bench.reserve(link, "r", "reply");
					bench.send(link, new Message.Resume("r", 1, 0));
				}) }, { "such a body coming late", ResultCode.GRANT_EXPIRED, 0, steps((bench, link) -> {
					bench.reserve(link, "r", "reply");
					bench.send(link, new Message.Resume("r", 1, 0));
					bench.run(link, "r");
				}) } };
	}

	@Test(dataProvider = "refusals")
	public void refuses(String name, ResultCode expected, int started, BiConsumer<SchedulerBench, Link> steps) {
		SchedulerBench bench = new SchedulerBench();
		Link link = bench.connect("entry", 1);
		steps.accept(bench, link);
		Assert.assertEquals(link.refusal(), expected, name);
		Assert.assertEquals(bench.started.size(), started, name + ": executions");
	}

	@Test
	public void carriesAnAnswerOverANewConnectionFromTheNextSequence() {
		SchedulerBench bench = new SchedulerBench();
		Link old = bench.connect("entry", 1);
		bench.start(old, "r", "reply");
		bench.token("r", "a ");
		bench.token("r", "b ");
		bench.handle(new SchedulerCommand.EntryGone(old));
		bench.token("r", "c ");
		Link fresh = bench.connect("entry", 1);
		bench.send(fresh, new Message.Resume("r", 1, 1));
		bench.end("r");
		Assert.assertEquals(texts(fresh), List.of("b ", "c "));
		Assert.assertEquals(((Message.End) fresh.last()).chunkCount(), 3);
		Assert.assertEquals(bench.started.size(), 1);
	}

	@Test
	public void runsARepeatedBodyOnce() {
		SchedulerBench bench = new SchedulerBench();
		Link link = bench.connect("entry", 1);
		bench.start(link, "r", "reply");
		bench.run(link, "r");
		Assert.assertEquals(bench.started.size(), 1);
	}

	@Test
	public void preemptsALowerTierAndResumesItWithItsText() {
		SchedulerBench bench = new SchedulerBench();
		Link link = bench.connect("entry", 1);
		bench.start(link, "s1", "summary");
		bench.start(link, "s2", "summary");
		bench.token("s2", "x ");
		bench.token("s2", "y ");
		bench.token("s1", "a ");
		bench.reserve(link, "top", "reply");
		Assert.assertEquals(bench.cancelled, List.of(), "not at once");
		bench.pass(250);
		Assert.assertEquals(bench.cancelled, List.of("s1"), "the cheaper one");
		bench.run(link, "top");
		bench.end("top");
		Assert.assertEquals(bench.started.get(3).executionId(), "s1~2");
		Assert.assertEquals(bench.started.get(3).continueFrom(), "a ");
		bench.token("s1~2", "b ");
		bench.end("s1~2");
		Assert.assertEquals(((Message.End) link.last()).chunkCount(), 2, "the entry saw a pause alone");
	}

	@DataProvider
	public Object[][] silences() {
		return new Object[][] { { "short, before the first token", false, 4_000L, null },
				{ "long, before the first token", false, 5_001L, ResultCode.BACKEND_BROKE_OFF },
				{ "short, in the stream", true, 1_900L, null },
				{ "long, in the stream", true, 2_001L, ResultCode.BACKEND_BROKE_OFF } };
	}

	@Test(dataProvider = "silences")
	public void endsAStreamWhoseEngineIsSilent(String name, boolean begun, long silentMillis, ResultCode expected) {
		SchedulerBench bench = new SchedulerBench();
		Link link = bench.connect("entry", 1);
		bench.start(link, "r", "reply");
		if (begun) {
			bench.token("r", "a ");
		}
		bench.pass(silentMillis);
		Assert.assertEquals(link.refusal(), expected, name);
		Assert.assertEquals(bench.cancelled.size(), (expected != null) ? 1 : 0, name);
	}

	@Test
	public void sendsPreemptedStreamsElsewhereWhenTheEngineIsGone() {
		SchedulerBench bench = new SchedulerBench();
		Link link = bench.connect("entry", 1);
		bench.start(link, "s1", "summary");
		bench.start(link, "s2", "summary");
		bench.reserve(link, "top", "reply");
		bench.pass(250);
		bench.run(link, "top");
		bench.fail("top", ResultCode.BACKEND_UNREACHABLE);
		Assert.assertEquals(link.refusal(), ResultCode.BACKEND_BROKE_OFF, "the preempted stream may have run");
		Assert.assertEquals(bench.scheduler.status().queued(), 0);
	}

	@Test
	public void dropsWhatAGoneOrRestartedEntryHeld() {
		SchedulerBench bench = new SchedulerBench();
		Link link = bench.connect("entry", 1);
		bench.start(link, "r", "reply");
		bench.handle(new SchedulerCommand.EntryGone(link));
		bench.pass(SchedulerBench.KEEP_MILLIS + 1);
		Assert.assertEquals(bench.cancelled, List.of("r"), "its time was over");
		Link second = bench.connect("entry", 2);
		bench.start(second, "q", "reply");
		bench.connect("entry", 3);
		Assert.assertEquals(bench.cancelled, List.of("r", "q"), "the entry restarted");
		Assert.assertEquals(bench.scheduler.status().inFlight() + bench.scheduler.status().queued(), 0);
	}

	@Test
	public void leavesOnlyWhenItsAnswersAreAcknowledged() {
		SchedulerBench bench = new SchedulerBench();
		Link link = bench.connect("entry", 1);
		bench.start(link, "r", "reply");
		bench.handle(new SchedulerCommand.Drain());
		Assert.assertTrue(bench.scheduler.status().leaving());
		bench.token("r", "a ");
		bench.end("r");
		bench.pass(20);
		Assert.assertFalse(bench.scheduler.drained().toCompletableFuture().isDone());
		bench.send(link, new Message.Ack("r", 1, 2));
		bench.pass(20);
		Assert.assertTrue(bench.scheduler.drained().toCompletableFuture().isDone());
	}

	@DataProvider
	public Object[][] verdicts() {
		ClaimDecision repeated = new ClaimDecision.Repeated(new RecordedResult(201, "text/plain", "kept"));
		return new Object[][] { { "won", new ClaimDecision.Won(), 0, 1, null, 0 },
				{ "won after the deadline", new ClaimDecision.Won(), 20_001, 0, ResultCode.DEADLINE_UNREACHABLE, 1 },
				{ "repeated", repeated, 0, 0, null, 0 },
				{ "refused", new ClaimDecision.Refused(ResultCode.KEY_REUSED), 0, 0, ResultCode.KEY_REUSED, 0 } };
	}

	@Test(dataProvider = "verdicts")
	public void followsTheClaim(String name, ClaimDecision verdict, long lateMillis, int started, ResultCode refusal,
			int released) {
		SchedulerBench bench = new SchedulerBench();
		Link link = bench.connect("entry", 1);
		bench.reserve(link, "r", "reply");
		bench.send(link, new Message.Run("r", 1, SchedulerBench.call(false, "key")));
		Assert.assertEquals(bench.started.size(), 0, "nothing runs before the verdict");
		bench.clock.advanceMillis(lateMillis);
		bench.verdict(verdict);
		Assert.assertEquals(bench.started.size(), started, name);
		Assert.assertEquals(link.refusal(), refusal, name);
		Assert.assertEquals(bench.released.size(), released, name);
		if (started == 1) {
			bench.token("r", "body");
			bench.end("r");
			Assert.assertEquals(bench.recorded, List.of(new RecordedResult(200, "text/plain", "body")));
		}
		else if (refusal == null) {
			Assert.assertEquals(texts(link), List.of("kept"));
			Assert.assertEquals(((Message.End) link.last()).code(), ResultCode.OK_REPEATED.number());
		}
	}

	@DataProvider
	public Object[][] bodies() {
		return new Object[][] {
				{ "text in two parts, cut within a character", new byte[][] { { (byte) 0xc3 }, { (byte) 0xa9 } }, 0L,
						"\u00e9" },
				{ "not UTF-8", new byte[][] { { (byte) 0xff } }, 0L, null },
				{ "first part acknowledged", new byte[][] { { 'a' }, { 'b' } }, 1L, null } };
	}

	@Test(dataProvider = "bodies")
	public void recordsABodyOnlyWholeAndUnchanged(String name, byte[][] parts, long acknowledged, String recorded) {
		SchedulerBench bench = new SchedulerBench();
		Link link = bench.connect("entry", 1);
		bench.reserve(link, "r", "reply");
		bench.send(link, new Message.Run("r", 1, SchedulerBench.call(false, "key")));
		bench.verdict(new ClaimDecision.Won());
		for (byte[] part : parts) {
			bench.part("r", part);
		}
		bench.send(link, new Message.Ack("r", 1, acknowledged));
		bench.end("r");
		Assert.assertEquals(bench.recorded, List.of(new RecordedResult(200, "text/plain", recorded)), name);
	}

	@DataProvider
	public Object[][] failures() {
		RecordedResult unknown = new RecordedResult(0, "", null);
		return new Object[][] { { ResultCode.BACKEND_BROKE_OFF, List.of(unknown), 0 },
				{ ResultCode.BACKEND_UNREACHABLE, List.of(), 1 } };
	}

	@Test(dataProvider = "failures")
	public void settlesTheClaimOfAFailedCall(ResultCode code, List<RecordedResult> recorded, int released) {
		SchedulerBench bench = new SchedulerBench();
		Link link = bench.connect("entry", 1);
		bench.reserve(link, "r", "reply");
		bench.send(link, new Message.Run("r", 1, SchedulerBench.call(false, "key")));
		bench.verdict(new ClaimDecision.Won());
		bench.fail("r", code);
		Assert.assertEquals(bench.recorded, recorded);
		Assert.assertEquals(bench.released.size(), released);
	}

	@Test
	public void givesAClaimBackThatWasWonAfterACancel() {
		SchedulerBench bench = new SchedulerBench();
		Link link = bench.connect("entry", 1);
		bench.reserve(link, "r", "reply");
		bench.send(link, new Message.Run("r", 1, SchedulerBench.call(false, "key")));
		bench.send(link, new Message.Cancel("r", 1));
		Assert.assertEquals(link.refusal(), ResultCode.CANCELLED_BEFORE_START);
		bench.verdict(new ClaimDecision.Won());
		Assert.assertEquals(bench.started.size(), 0);
		Assert.assertEquals(bench.released.size(), 1);
	}

	private static BiConsumer<SchedulerBench, Link> steps(BiConsumer<SchedulerBench, Link> steps) {
		return steps;
	}

	private static List<String> texts(Link link) {
		return link.sent.stream()
			.filter(Message.Chunk.class::isInstance)
			.map((message) -> new String(((Message.Chunk) message).payload(), StandardCharsets.UTF_8))
			.toList();
	}

}
