package org.marjoramgw.side.scheduler;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimDecision;
import org.marjoramgw.claim.RecordedResult;
import org.marjoramgw.side.scheduler.SchedulerHarness.RecordingLink;
import org.marjoramgw.wire.Message;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link Scheduler} with sequences of messages and backend events.
 *
 * @author The marjoramgw authors
 */
public class SchedulerTests {

	@Test
	public void resumesResponseOnNewConnectionFromNextSequence() {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink oldLink = harness.connect("entry", 1);
		harness.start(oldLink, "r", "reply");
		harness.receiveToken("r", "a ");
		harness.receiveToken("r", "b ");
		harness.handle(new SchedulerCommand.EntryDisconnected(oldLink));
		harness.receiveToken("r", "c ");
		RecordingLink newLink = harness.connect("entry", 1);
		harness.send(newLink, new Message.Resume("r", 1, 1));
		harness.complete("r");
		Assert.assertEquals(texts(newLink), List.of("b ", "c "));
		Assert.assertEquals(((Message.End) newLink.last()).chunkCount(), 3);
		Assert.assertEquals(harness.startedRequests.size(), 1);
	}

	@Test
	public void runsRepeatedBodyOnce() {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink link = harness.connect("entry", 1);
		harness.start(link, "r", "reply");
		harness.run(link, "r");
		Assert.assertEquals(harness.startedRequests.size(), 1);
	}

	@Test
	public void preemptsLowerTierAndResumesWithGeneratedText() {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink link = harness.connect("entry", 1);
		harness.start(link, "s1", "summary");
		harness.start(link, "s2", "summary");
		harness.receiveToken("s2", "x ");
		harness.receiveToken("s2", "y ");
		harness.receiveToken("s1", "a ");
		harness.reserve(link, "top", "reply");
		Assert.assertEquals(harness.cancelledExecutions, List.of(), "no preemption before the delay");
		harness.advance(250);
		Assert.assertEquals(harness.cancelledExecutions, List.of("s1"), "the stream that is cheaper to resume");
		harness.run(link, "top");
		harness.complete("top");
		Assert.assertEquals(harness.startedRequests.get(3).executionId(), "s1~2");
		Assert.assertEquals(harness.startedRequests.get(3).continueFrom(), "a ");
		harness.receiveToken("s1~2", "b ");
		harness.complete("s1~2");
		Assert.assertEquals(((Message.End) link.last()).chunkCount(), 2, "the entry sees only a pause");
	}

	@DataProvider
	public Object[][] stalls() {
		return new Object[][] { { "short stall before the first token", false, 4_000L, null },
				{ "long stall before the first token", false, 5_001L, ResultCode.BACKEND_BROKE_OFF },
				{ "short stall in the stream", true, 1_900L, null },
				{ "long stall in the stream", true, 2_001L, ResultCode.BACKEND_BROKE_OFF } };
	}

	@Test(dataProvider = "stalls")
	public void endsStalledStream(String name, boolean hasOutput, long silentMillis, ResultCode expected) {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink link = harness.connect("entry", 1);
		harness.start(link, "r", "reply");
		if (hasOutput) {
			harness.receiveToken("r", "a ");
		}
		harness.advance(silentMillis);
		Assert.assertEquals(link.refusal(), expected, name);
		Assert.assertEquals(harness.cancelledExecutions.size(), (expected != null) ? 1 : 0, name);
	}

	@Test
	public void endsPreemptedStreamsWhenEngineIsUnreachable() {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink link = harness.connect("entry", 1);
		harness.start(link, "s1", "summary");
		harness.start(link, "s2", "summary");
		harness.reserve(link, "top", "reply");
		harness.advance(250);
		harness.run(link, "top");
		harness.fail("top", ResultCode.BACKEND_UNREACHABLE);
		Assert.assertEquals(link.refusal(), ResultCode.BACKEND_BROKE_OFF, "the preempted stream may have run");
		Assert.assertEquals(harness.scheduler.status().queued(), 0);
	}

	@Test
	public void discardsRequestsOfDisconnectedOrRestartedEntry() {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink link = harness.connect("entry", 1);
		harness.start(link, "r", "reply");
		harness.handle(new SchedulerCommand.EntryDisconnected(link));
		harness.advance(SchedulerHarness.RESPONSE_RETENTION_MILLIS + 1);
		Assert.assertEquals(harness.cancelledExecutions, List.of("r"), "the retention time has passed");
		RecordingLink second = harness.connect("entry", 2);
		harness.start(second, "q", "reply");
		harness.connect("entry", 3);
		Assert.assertEquals(harness.cancelledExecutions, List.of("r", "q"), "the entry restarted");
		Assert.assertEquals(harness.scheduler.status().inFlight() + harness.scheduler.status().queued(), 0);
	}

	@Test
	public void drainsOnlyAfterResponsesAreAcknowledged() {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink link = harness.connect("entry", 1);
		harness.start(link, "r", "reply");
		harness.handle(new SchedulerCommand.Drain());
		Assert.assertTrue(harness.scheduler.status().leaving());
		harness.receiveToken("r", "a ");
		harness.complete("r");
		harness.advance(20);
		Assert.assertFalse(harness.scheduler.drained().toCompletableFuture().isDone());
		harness.send(link, new Message.Ack("r", 1, 2));
		harness.advance(20);
		Assert.assertTrue(harness.scheduler.drained().toCompletableFuture().isDone());
	}

	@DataProvider
	public Object[][] claimDecisions() {
		ClaimDecision repeated = new ClaimDecision.Repeated(new RecordedResult(201, "text/plain", "kept"));
		return new Object[][] { { "won", new ClaimDecision.Won(), 0, 1, null, 0 },
				{ "won after the deadline", new ClaimDecision.Won(), 20_001, 0, ResultCode.DEADLINE_UNREACHABLE, 1 },
				{ "repeated", repeated, 0, 0, null, 0 },
				{ "refused", new ClaimDecision.Refused(ResultCode.KEY_REUSED), 0, 0, ResultCode.KEY_REUSED, 0 } };
	}

	@Test(dataProvider = "claimDecisions")
	public void actsOnClaimDecision(String name, ClaimDecision decision, long lateMillis, int executionCount,
			ResultCode refusal, int releasedCount) {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink link = harness.connect("entry", 1);
		harness.reserve(link, "r", "reply");
		harness.send(link, new Message.Run("r", 1, SchedulerHarness.call(false, "key")));
		Assert.assertEquals(harness.startedRequests.size(), 0, "no execution before the claim is decided");
		harness.clock.advanceMillis(lateMillis);
		harness.decideClaim(decision);
		Assert.assertEquals(harness.startedRequests.size(), executionCount, name);
		Assert.assertEquals(link.refusal(), refusal, name);
		Assert.assertEquals(harness.releasedClaims.size(), releasedCount, name);
		if (executionCount == 1) {
			harness.receiveToken("r", "body");
			harness.complete("r");
			Assert.assertEquals(harness.recordedResults, List.of(new RecordedResult(200, "text/plain", "body")));
		}
		else if (refusal == null) {
			Assert.assertEquals(texts(link), List.of("kept"));
			Assert.assertEquals(((Message.End) link.last()).code(), ResultCode.OK_REPEATED.number());
		}
	}

	@DataProvider
	public Object[][] bodies() {
		return new Object[][] {
				{ "text in two parts, split within a character", new byte[][] { { (byte) 0xc3 }, { (byte) 0xa9 } }, 0L,
						"\u00e9" },
				{ "not UTF-8", new byte[][] { { (byte) 0xff } }, 0L, null },
				{ "first part acknowledged", new byte[][] { { 'a' }, { 'b' } }, 1L, null } };
	}

	@Test(dataProvider = "bodies")
	public void recordsBodyOnlyIfCompleteUtf8(String name, byte[][] parts, long acknowledged, String recorded) {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink link = harness.connect("entry", 1);
		harness.reserve(link, "r", "reply");
		harness.send(link, new Message.Run("r", 1, SchedulerHarness.call(false, "key")));
		harness.decideClaim(new ClaimDecision.Won());
		for (byte[] part : parts) {
			harness.receivePart("r", part);
		}
		harness.send(link, new Message.Ack("r", 1, acknowledged));
		harness.complete("r");
		Assert.assertEquals(harness.recordedResults, List.of(new RecordedResult(200, "text/plain", recorded)), name);
	}

	@DataProvider
	public Object[][] failures() {
		RecordedResult unknown = new RecordedResult(0, "", null);
		return new Object[][] { { ResultCode.BACKEND_BROKE_OFF, List.of(unknown), 0 },
				{ ResultCode.BACKEND_UNREACHABLE, List.of(), 1 } };
	}

	@Test(dataProvider = "failures")
	public void recordsOrReleasesClaimOfFailedCall(ResultCode code, List<RecordedResult> recorded, int releasedCount) {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink link = harness.connect("entry", 1);
		harness.reserve(link, "r", "reply");
		harness.send(link, new Message.Run("r", 1, SchedulerHarness.call(false, "key")));
		harness.decideClaim(new ClaimDecision.Won());
		harness.fail("r", code);
		Assert.assertEquals(harness.recordedResults, recorded);
		Assert.assertEquals(harness.releasedClaims.size(), releasedCount);
	}

	@Test
	public void releasesClaimWonAfterCancel() {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink link = harness.connect("entry", 1);
		harness.reserve(link, "r", "reply");
		harness.send(link, new Message.Run("r", 1, SchedulerHarness.call(false, "key")));
		harness.send(link, new Message.Cancel("r", 1));
		Assert.assertEquals(link.refusal(), ResultCode.CANCELLED_BEFORE_START);
		harness.decideClaim(new ClaimDecision.Won());
		Assert.assertEquals(harness.startedRequests.size(), 0);
		Assert.assertEquals(harness.releasedClaims.size(), 1);
	}

	private static List<String> texts(RecordingLink link) {
		return link.sent.stream()
			.filter(Message.Chunk.class::isInstance)
			.map((message) -> new String(((Message.Chunk) message).payload(), StandardCharsets.UTF_8))
			.toList();
	}

}
