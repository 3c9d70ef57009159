package org.marjoramgw.side.scheduler;

import java.util.function.BiConsumer;

import org.marjoramgw.ResultCode;
import org.marjoramgw.side.scheduler.SchedulerHarness.RecordingLink;
import org.marjoramgw.wire.Message;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the refusals of {@link Scheduler}.
 *
 * @author The marjoramgw authors
 */
public class SchedulerRefusalTests {

	@DataProvider
	public Object[][] refusals() {
		return new Object[][] {
				{ "body without a reservation", ResultCode.UNKNOWN_RESERVATION, 0,
						steps((harness, link) -> harness.run(link, "r")) },
				{ "body after the grant timeout", ResultCode.GRANT_EXPIRED, 0, steps((harness, link) -> {
					harness.reserve(link, "r", "reply");
					harness.advance(SchedulerHarness.GRANT_TIMEOUT_MILLIS + 1);
					harness.run(link, "r");
				}) }, { "body after the grant timeout, no tick between", ResultCode.GRANT_EXPIRED, 0,
						steps((harness, link) -> {
							harness.reserve(link, "r", "reply");
							harness.clock.advanceMillis(SchedulerHarness.GRANT_TIMEOUT_MILLIS + 1);
							harness.run(link, "r");
						}) },
				{ "body after a release", ResultCode.RELEASED, 0, steps((harness, link) -> {
					harness.reserve(link, "r", "reply");
					harness.send(link, new Message.Release("r", 1));
					harness.run(link, "r");
				}) }, { "body after a cancel", ResultCode.CANCELLED_BEFORE_START, 0, steps((harness, link) -> {
					harness.reserve(link, "r", "reply");
					harness.send(link, new Message.Cancel("r", 1));
					harness.run(link, "r");
				}) }, { "reservation that arrives after its cancel", ResultCode.CANCELLED_BEFORE_START, 0,
						steps((harness, link) -> {
							harness.send(link, new Message.Cancel("r", 1));
							harness.reserve(link, "r", "reply");
						}) },
				{ "cancel of a queued request", ResultCode.CANCELLED_BEFORE_START, 2, steps((harness, link) -> {
					harness.start(link, "a", "reply");
					harness.start(link, "b", "reply");
					harness.reserve(link, "r", "reply");
					harness.send(link, new Message.Cancel("r", 1));
				}) }, { "cancel of a running request", ResultCode.CANCELLED_IN_FLIGHT, 1, steps((harness, link) -> {
					harness.start(link, "r", "reply");
					harness.send(link, new Message.Cancel("r", 1));
				}) },
				{ "cancel of an acknowledged request", ResultCode.CANCELLED_IN_FLIGHT, 1, steps((harness, link) -> {
					harness.start(link, "r", "reply");
					harness.complete("r");
					harness.send(link, new Message.Ack("r", 1, 1));
					harness.send(link, new Message.Cancel("r", 1));
				}) }, { "body repeated after the response was acknowledged", ResultCode.ANSWER_NOT_KEPT, 1,
						steps((harness, link) -> {
							harness.start(link, "r", "reply");
							harness.complete("r");
							harness.send(link, new Message.Ack("r", 1, 1));
							harness.run(link, "r");
						}) },
				{ "queue of the class is full", ResultCode.QUEUE_FULL, 2, steps((harness, link) -> {
					harness.start(link, "a", "reply");
					harness.start(link, "b", "reply");
					for (int number = 0; number < 5; number++) {
						harness.reserve(link, "r" + number, "reply");
					}
				}) },
				{ "start deadline passes in the queue", ResultCode.DEADLINE_UNREACHABLE, 2, steps((harness, link) -> {
					harness.start(link, "a", "reply");
					harness.start(link, "b", "reply");
					harness.reserve(link, "r", "reply");
					harness.advance(4_001);
				}) }, { "deadline passes in flight", ResultCode.DEADLINE_IN_FLIGHT, 1, steps((harness, link) -> {
					harness.start(link, "r", "reply");
					harness.advance(20_001);
				}) },
				{ "unknown class", ResultCode.NOT_SERVED_HERE, 0,
						steps((harness, link) -> harness.reserve(link, "r", "other")) },
				{ "body over the size limit", ResultCode.BODY_TOO_LARGE, 0, steps((harness, link) -> {
					harness.reserve(link, "r", "reply");
					harness.send(link, new Message.Run("r", 1, new org.marjoramgw.wire.BackendCall("POST", "/",
							"application/json", new byte[2_000], "", true, "")));
				}) }, { "engine breaks off the response", ResultCode.BACKEND_BROKE_OFF, 1, steps((harness, link) -> {
					harness.start(link, "r", "reply");
					harness.receiveToken("r", "t ");
					harness.fail("r", ResultCode.BACKEND_BROKE_OFF);
				}) }, { "engine can't be reached", ResultCode.BACKEND_UNREACHABLE, 1, steps((harness, link) -> {
					harness.start(link, "r", "reply");
					harness.fail("r", ResultCode.BACKEND_UNREACHABLE);
				}) }, { "reservation during the backoff after that", ResultCode.BACKEND_UNREACHABLE, 1,
						steps((harness, link) -> {
							harness.start(link, "r", "reply");
							harness.fail("r", ResultCode.BACKEND_UNREACHABLE);
							harness.reserve(link, "s", "reply");
						}) },
				{ "reservation while leaving", ResultCode.SIDE_LEAVING, 0, steps((harness, link) -> {
					harness.handle(new SchedulerCommand.Drain());
					harness.reserve(link, "r", "reply");
				}) }, { "queued request when leaving", ResultCode.SIDE_LEAVING, 2, steps((harness, link) -> {
					harness.start(link, "a", "reply");
					harness.start(link, "b", "reply");
					harness.reserve(link, "r", "reply");
					harness.handle(new SchedulerCommand.Drain());
				}) },
				{ "resumption of an unknown request", ResultCode.ANSWER_NOT_KEPT, 0,
						steps((harness, link) -> harness.send(link, new Message.Resume("r", 1, 0))) },
				{ "resumption of a request whose body never arrived", ResultCode.GRANT_EXPIRED, 0,
						steps((harness, link) -> {
							harness.reserve(link, "r", "reply");
							harness.send(link, new Message.Resume("r", 1, 0));
						}) },
				{ "body that arrives after such a resumption", ResultCode.GRANT_EXPIRED, 0, steps((harness, link) -> {
					harness.reserve(link, "r", "reply");
					harness.send(link, new Message.Resume("r", 1, 0));
					harness.run(link, "r");
				}) } };
	}

	@Test(dataProvider = "refusals")
	public void refuses(String name, ResultCode expected, int executionCount,
			BiConsumer<SchedulerHarness, RecordingLink> steps) {
		SchedulerHarness harness = new SchedulerHarness();
		RecordingLink link = harness.connect("entry", 1);
		steps.accept(harness, link);
		Assert.assertEquals(link.refusal(), expected, name);
		Assert.assertEquals(harness.startedRequests.size(), executionCount, name + ": executions");
	}

	private static BiConsumer<SchedulerHarness, RecordingLink> steps(
			BiConsumer<SchedulerHarness, RecordingLink> steps) {
		return steps;
	}

}
