package org.marjoramgw.entry.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.HostPort;
import org.marjoramgw.ResultCode;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.Limits;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.config.Service;
import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.entry.EntrySettings;
import org.marjoramgw.http.CallerSettings;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.policy.candidate.LateBindingSelector;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.policy.retry.RetryBudget;
import org.marjoramgw.testkit.TestSeed;
import org.marjoramgw.trace.DecisionLog;
import org.marjoramgw.wire.BackendCall;
import org.marjoramgw.wire.Message;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link RequestActor} with fake side processes; the test plays their part by
 * sending events to the actor.
 *
 * @author The marjoramgw authors
 */
public class RequestActorTests {

	private ActorSystem<Void> system;

	private FakeSideProcesses sides;

	private RecordingSink sink;

	private ResultCounters counters;

	private int startedCount;

	@BeforeClass
	public void start() {
		this.system = ActorSystem.create(Behaviors.empty(), "request-tests");
	}

	@AfterClass
	public void stop() {
		this.system.terminate();
	}

	@Test
	public void runsAtTheFirstGrantorAndReleasesTheOthers() throws Exception {
		ActorRef<RequestEvent> actor = startRequest(generation());
		String firstSide = this.sides.next(Message.Reserve.class).sideId();
		String secondSide = this.sides.next(Message.Reserve.class).sideId();
		grant(actor, secondSide, 1);
		Assert.assertEquals(this.sides.next(Message.Release.class).sideId(), firstSide);
		Assert.assertEquals(this.sides.next(Message.Run.class).sideId(), secondSide);
		grant(actor, firstSide, 1);
		Assert.assertEquals(this.sides.next(Message.Release.class).sideId(), firstSide, "late grant");
		chunk(actor, secondSide, 1, 0, "a ");
		end(actor, secondSide, 1, 1);
		Assert.assertEquals(this.sink.result(), ResultCode.OK);
		Assert.assertEquals(this.sides.next(Message.Ack.class).message().nextSequence(), 2);
	}

	@Test
	public void acceptsOnlyChunksOfTheCurrentAttemptInOrder() throws Exception {
		ActorRef<RequestEvent> actor = startRequest(generation());
		String side = startRun(actor);
		chunk(actor, side, 1, 0, "a ");
		chunk(actor, side, 2, 1, "other attempt ");
		chunk(actor, "stranger", 1, 1, "other side ");
		chunk(actor, side, 1, 2, "too early ");
		chunk(actor, side, 1, 0, "twice ");
		chunk(actor, side, 1, 1, "b");
		end(actor, side, 1, 2);
		Assert.assertEquals(this.sink.result(), ResultCode.OK);
		Assert.assertEquals(this.sink.text(), "a b");
		Assert.assertEquals(this.counters.countOf(ResultCode.STALE_CHUNK), 4);
	}

	@Test
	public void resumesOverANewConnection() throws Exception {
		ActorRef<RequestEvent> actor = startRequest(plain(false));
		String side = startRun(actor);
		chunk(actor, side, 1, 0, "a ");
		actor.tell(new RequestEvent.SideDisconnected(side));
		actor.tell(new RequestEvent.SideConnected(side, FakeSideProcesses.INCARNATION));
		Assert.assertEquals(this.sides.next(Message.Resume.class).message().nextSequence(), 1);
		chunk(actor, side, 1, 1, "b");
		end(actor, side, 1, 2);
		Assert.assertEquals(this.sink.result(), ResultCode.OK);
		Assert.assertEquals(this.sink.text(), "a b");
	}

	@Test
	public void resumesWhenChunksAreMissingAtTheEnd() {
		ActorRef<RequestEvent> actor = startRequest(generation());
		String side = startRun(actor);
		chunk(actor, side, 1, 0, "a ");
		end(actor, side, 1, 3);
		Assert.assertEquals(this.sides.next(Message.Resume.class).message().nextSequence(), 1);
	}

	@Test
	public void continuesAGenerationOnAnotherSideProcess() throws Exception {
		ActorRef<RequestEvent> actor = startRequest(generation());
		String side = startRun(actor);
		chunk(actor, side, 1, 0, "a ");
		refuse(actor, side, 1, ResultCode.BACKEND_BROKE_OFF);
		Message.Reserve secondReserve = this.sides.next(Message.Reserve.class).message();
		Assert.assertEquals(secondReserve.attempt(), 2);
		grant(actor, otherSide(side), 2);
		Assert.assertEquals(this.sides.next(Message.Run.class).message().call().continueFrom(), "a ");
		chunk(actor, side, 1, 1, "late part of the lost run ");
		chunk(actor, otherSide(side), 2, 0, "b");
		end(actor, otherSide(side), 2, 1);
		Assert.assertEquals(this.sink.result(), ResultCode.OK);
		Assert.assertEquals(this.sink.text(), "a b");
	}

	@DataProvider
	public Object[][] failedRuns() {
		return new Object[][] { { "plain", ResultCode.BACKEND_BROKE_OFF, false },
				{ "plain", ResultCode.SIDE_RESTARTED, false }, { "plain", ResultCode.ANSWER_NOT_KEPT, false },
				{ "plain", ResultCode.KEY_OUTCOME_UNKNOWN, false }, { "plain", ResultCode.KEY_REUSED, false },
				{ "plain", ResultCode.GRANT_EXPIRED, true }, { "plain", ResultCode.UNKNOWN_RESERVATION, true },
				{ "plain", ResultCode.BACKEND_UNREACHABLE, true }, { "repeatable", ResultCode.BACKEND_BROKE_OFF, true },
				{ "repeatable", ResultCode.SIDE_RESTARTED, true }, { "generation", ResultCode.SIDE_RESTARTED, true },
				{ "generation", ResultCode.GRANT_EXPIRED, true },
				{ "generation", ResultCode.ANSWER_TOO_LARGE, false } };
	}

	@Test(dataProvider = "failedRuns")
	public void retriesAFailedRunOnlyWhereThatIsSafe(String kind, ResultCode code, boolean retried) throws Exception {
		RoutedRequest request = kind.equals("generation") ? generation() : plain(kind.equals("repeatable"));
		ActorRef<RequestEvent> actor = startRequest(request);
		String side = startRun(actor);
		refuse(actor, side, 1, code);
		if (retried) {
			Assert.assertEquals(this.sides.next(Message.Reserve.class).message().attempt(), 2);
		}
		else {
			Assert.assertEquals(this.sink.result(), code);
			Assert.assertTrue(this.sides.noneSent(Message.Reserve.class));
		}
	}

	@Test
	public void asksForTheRecordedResultOfAKeyedCallAndNeverReportsItNotRun() throws Exception {
		ActorRef<RequestEvent> actor = startRequest(keyed());
		String side = this.sides.next(Message.Reserve.class).sideId();
		grant(actor, side, 1);
		this.sides.next(Message.Run.class);
		refuse(actor, side, 1, ResultCode.KEY_IN_PROGRESS);
		FakeSideProcesses.Received<Message.Reserve> secondReserve = this.sides.next(Message.Reserve.class);
		grant(actor, secondReserve.sideId(), 2);
		this.sides.next(Message.Run.class);
		refuse(actor, secondReserve.sideId(), 2, ResultCode.CLAIM_UNAVAILABLE);
		Message.Reserve thirdReserve = this.sides.next(Message.Reserve.class).message();
		Assert.assertEquals(thirdReserve.attempt(), 3);
		actor.tell(new RequestEvent.FinishDeadline());
		Assert.assertEquals(this.sink.result(), ResultCode.DEADLINE_IN_FLIGHT);
	}

	@Test
	public void refusesALowerTierPastItsFirstTokenTargetButNotTheTopTier() throws Exception {
		startRequest(generationInTier(4, 50));
		Assert.assertEquals(this.sink.result(), ResultCode.DEADLINE_BEFORE_GRANT);
		startRequest(generationInTier(1, 50));
		Assert.assertTrue(this.sides.next(Message.Reserve.class).message().startWithinMillis() > 50);
	}

	@Test
	public void allowsAContinuationTheTimeUntilTheFinishDeadline() {
		ActorRef<RequestEvent> actor = startRequest(generationInTier(4, 5_000));
		String side = startRun(actor);
		refuse(actor, side, 1, ResultCode.BACKEND_BROKE_OFF);
		Assert.assertTrue(this.sides.next(Message.Reserve.class).message().startWithinMillis() > 5_000);
	}

	@Test
	public void reportsAnUnknownOutcomeWhenTheSideProcessRestarted() throws Exception {
		ActorRef<RequestEvent> actor = startRequest(plain(false));
		String side = startRun(actor);
		actor.tell(new RequestEvent.SideDisconnected(side));
		actor.tell(new RequestEvent.SideConnected(side, FakeSideProcesses.INCARNATION + 1));
		Assert.assertEquals(this.sink.result(), ResultCode.SIDE_RESTARTED);
	}

	@Test
	public void reportsAnUnknownOutcomeWhenTheSideProcessDoesNotReconnect() throws Exception {
		ActorRef<RequestEvent> actor = startRequest(plain(false));
		String side = startRun(actor);
		actor.tell(new RequestEvent.SideDisconnected(side));
		Assert.assertEquals(this.sink.result(), ResultCode.SIDE_LOST);
	}

	@Test
	public void continuesAGenerationAtOnceWhenTheSideProcessIsUnreachable() {
		ActorRef<RequestEvent> actor = startRequest(generation());
		String side = startRun(actor);
		actor.tell(new RequestEvent.SideDisconnected(side));
		actor.tell(new RequestEvent.SideUnreachable(side));
		Assert.assertEquals(this.sides.next(Message.Reserve.class).message().attempt(), 2);
		actor.tell(new RequestEvent.SideConnected(side, FakeSideProcesses.INCARNATION));
		Assert.assertEquals(this.sides.next(Message.Cancel.class).message().attempt(), 1, "the lost run is cancelled");
	}

	@Test
	public void waitsForReconnectionWithACallThatMayNotBeRepeated() throws Exception {
		ActorRef<RequestEvent> actor = startRequest(plain(false));
		String side = startRun(actor);
		actor.tell(new RequestEvent.SideDisconnected(side));
		actor.tell(new RequestEvent.SideUnreachable(side));
		actor.tell(new RequestEvent.SideConnected(side, FakeSideProcesses.INCARNATION));
		this.sides.next(Message.Resume.class);
		end(actor, side, 1, 0);
		Assert.assertEquals(this.sink.result(), ResultCode.OK);
	}

	@Test
	public void cancelsTheRunWhenTheCallerDisconnects() {
		ActorRef<RequestEvent> actor = startRequest(generation());
		String side = startRun(actor);
		actor.tell(new RequestEvent.CallerDisconnected());
		Assert.assertEquals(this.sides.next(Message.Cancel.class).sideId(), side);
	}

	private String otherSide(String side) {
		return side.equals("s1") ? "s2" : "s1";
	}

	private String startRun(ActorRef<RequestEvent> actor) {
		String side = this.sides.next(Message.Reserve.class).sideId();
		this.sides.next(Message.Reserve.class);
		grant(actor, side, 1);
		this.sides.next(Message.Run.class);
		return side;
	}

	private static void grant(ActorRef<RequestEvent> actor, String side, int attempt) {
		tell(actor, side, new Message.Grant("r", attempt, 100));
	}

	private static void chunk(ActorRef<RequestEvent> actor, String side, int attempt, long sequence, String text) {
		tell(actor, side, new Message.Chunk("r", attempt, sequence, 1, text.getBytes(StandardCharsets.UTF_8)));
	}

	private static void end(ActorRef<RequestEvent> actor, String side, int attempt, long chunks) {
		tell(actor, side,
				new Message.End("r", attempt, chunks, ResultCode.OK.number(), 200, "application/json", "stop"));
	}

	private static void refuse(ActorRef<RequestEvent> actor, String side, int attempt, ResultCode code) {
		tell(actor, side, new Message.Refusal("r", attempt, code.number(), 0));
	}

	private static void tell(ActorRef<RequestEvent> actor, String side, Message message) {
		actor.tell(new RequestEvent.MessageReceived(side, message));
	}

	private ActorRef<RequestEvent> startRequest(RoutedRequest request) {
		this.sides = new FakeSideProcesses("s1", "s2");
		this.sink = new RecordingSink();
		MetricRegistry registry = new MetricRegistry();
		this.counters = new ResultCounters(registry);
		SystemMillisClock clock = new SystemMillisClock();
		Limits limits = new Limits(1_000_000, "late-binding", 2, 100, "tiers", 4, 4, 1, 0, true, 100, 24);
		DispatchContext context = new DispatchContext(settings(), limits, clock, this.sides, new OpenRequests(),
				new LateBindingSelector(TestSeed.random(1)), new RetryBudget(10),
				new Backoff(1, 10, TestSeed.random(2)), this.counters, new DecisionLog(clock, 100));
		return this.system.systemActorOf(RequestActor.create(request, context, this.sink), "r" + this.startedCount++,
				Props.empty());
	}

	private static EntrySettings settings() {
		HostPort address = new HostPort("127.0.0.1", 0);
		return new EntrySettings("e1", "a", address, "t", "o", "", "", 250, 1_000, 1_000, 500, 200, 5_000, 1_000, 100,
				16, CallerSettings.defaults());
	}

	private static RoutedRequest generationInTier(int tier, long firstTokenMillis) {
		RoutedRequest request = generation();
		return new RoutedRequest(request.requestId(), request.service(), request.model(),
				new RequestClass("c", tier, firstTokenMillis, 50, 20_000, 10, 10), request.account(), request.call(),
				"", 1);
	}

	private static RoutedRequest generation() {
		Service service = new Service("chat", ServiceKind.MODEL, "p", List.of("m"), List.of(), List.of(), false);
		return routedRequest(service, "m", true, "");
	}

	private static RoutedRequest keyed() {
		Service service = new Service("orders", ServiceKind.PLAIN, "p", List.of(), List.of(), List.of(), false);
		return routedRequest(service, "", false, "key");
	}

	private static RoutedRequest plain(boolean repeatable) {
		Service service = new Service("orders", ServiceKind.PLAIN, "p", List.of(), List.of(), List.of(), false);
		return routedRequest(service, "", repeatable, "");
	}

	private static RoutedRequest routedRequest(Service service, String model, boolean repeatable, String key) {
		BackendCall call = new BackendCall("POST", "/x", "application/json", new byte[0], "", repeatable, key);
		return new RoutedRequest("r", service, model, new RequestClass("c", 1, 500, 50, 20_000, 10, 10),
				new ClientAccount("acc", "", 1), call, "", 1);
	}

}
