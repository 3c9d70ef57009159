package org.marjoramgw.entry.dispatch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.candidate.Selectors;
import org.marjoramgw.wire.Message;

/**
 * Course of one request: reserves at several side processes, runs at the first that
 * grants, and carries the answer whole, over a new connection or on another backend
 * server where needed.
 *
 * @author The marjoramgw authors
 */
public final class RequestActor extends AbstractBehavior<RequestEvent> {

	private static final int HARD_DEADLINE_FACTOR = 2;

	private static final int TOP_TIER = 1;

	private final TimerScheduler<RequestEvent> timers;

	private final RoutedRequest request;

	private final DispatchContext context;

	private final ResponseSink sink;

	private final Reservations reservations;

	private final RetryState recovery;

	private final long startDeadlineMillis;

	private final StringBuilder textSoFar = new StringBuilder();

	private RunningAttempt running;

	private RunningAttempt abandoned;

	private RequestActor(ActorContext<RequestEvent> actor, TimerScheduler<RequestEvent> timers, RoutedRequest request,
			DispatchContext context, ResponseSink sink) {
		super(actor);
		this.timers = timers;
		this.request = request;
		this.context = context;
		this.sink = sink;
		this.recovery = new RetryState(request, context);
		long nowMillis = context.clock().nowMillis();
		long completionMillis = request.requestClass().completionMillis();
		this.startDeadlineMillis = nowMillis + startWithinMillis(request.requestClass());
		long finishMillis = completionMillis * HARD_DEADLINE_FACTOR;
		this.reservations = new Reservations(request, context, this.startDeadlineMillis, nowMillis + finishMillis);
		timers.startSingleTimer(new RequestEvent.StartDeadline(),
				Duration.ofMillis(this.startDeadlineMillis - nowMillis));
		timers.startSingleTimer(new RequestEvent.FinishDeadline(), Duration.ofMillis(finishMillis));
	}

	/**
	 * Creates the behavior of one request.
	 * @param request the request
	 * @param context what it depends on
	 * @param sink where the answer goes
	 * @return the behavior, which stops when the request is over
	 */
	public static Behavior<RequestEvent> create(RoutedRequest request, DispatchContext context, ResponseSink sink) {
		return Behaviors.setup((actor) -> Behaviors.withTimers((timers) -> {
			context.openRequests().register(request.requestId(), actor.getSelf());
			context.retryBudget().onRequest(request.requestClass().name(), context.limits().retryPercent());
			return new RequestActor(actor, timers, request, context, sink).startRound();
		}));
	}

	@Override
	public Receive<RequestEvent> createReceive() {
		return newReceiveBuilder().onMessage(RequestEvent.MessageReceived.class, this::onFromSide)
			.onMessage(RequestEvent.SideDisconnected.class, this::onSideGone)
			.onMessage(RequestEvent.SideConnected.class, this::onSideBack)
			.onMessage(RequestEvent.SideUnreachable.class, this::onSideUnreachable)
			.onMessage(RequestEvent.CallerDisconnected.class, (event) -> onCallerGone())
			.onMessage(RequestEvent.RetryDue.class, (event) -> startRound())
			.onMessage(RequestEvent.WidenDue.class, (event) -> onWidenDue())
			.onMessage(RequestEvent.StartDeadline.class, (event) -> onStartDeadline())
			.onMessage(RequestEvent.FinishDeadline.class, (event) -> onFinishDeadline())
			.onMessage(RequestEvent.ResumeDeadline.class, this::onResumeDeadline)
			.build();
	}

	/**
	 * Returns how long a request may wait for its start. Below the top tier one that
	 * missed its target for the first token would only take slots from those that can
	 * still meet theirs.
	 * @param requestClass class of the request
	 * @return the wait, in milliseconds
	 */
	private static long startWithinMillis(RequestClass requestClass) {
		long patientMillis = Math.max(requestClass.firstTokenMillis(), requestClass.completionMillis() / 2);
		boolean strict = requestClass.tier() > TOP_TIER && requestClass.firstTokenMillis() > 0;
		return strict ? requestClass.firstTokenMillis() : patientMillis;
	}

	private Behavior<RequestEvent> startRound() {
		if (!this.reservations.startRound(this.recovery.mayHaveRun())) {
			return retryOrFail(ResultCode.NO_BACKEND, 0);
		}
		this.timers.startSingleTimer(new RequestEvent.WidenDue(),
				Duration.ofMillis(this.context.settings().widenMillis()));
		return this;
	}

	private Behavior<RequestEvent> onWidenDue() {
		boolean waits = this.running == null && this.reservations.isWaiting() && isLateBinding();
		if (waits && this.reservations.widen()) {
			this.timers.startSingleTimer(new RequestEvent.WidenDue(),
					Duration.ofMillis(this.context.settings().widenMillis()));
		}
		return this;
	}

	private boolean isLateBinding() {
		return Selectors.LATE_BINDING.equals(this.context.limits().selector());
	}

	private Behavior<RequestEvent> onFromSide(RequestEvent.MessageReceived event) {
		String sideId = event.sideId();
		if (event.message() instanceof Message.Grant grant) {
			return onGrant(sideId, grant);
		}
		if (event.message() instanceof Message.Refusal refusal) {
			return onRefusal(sideId, refusal);
		}
		if (event.message() instanceof Message.Chunk chunk) {
			return onChunk(sideId, chunk);
		}
		if (event.message() instanceof Message.End end) {
			return onEnd(sideId, end);
		}
		return this;
	}

	private Behavior<RequestEvent> onGrant(String sideId, Message.Grant grant) {
		boolean wanted = this.running == null && grant.attempt() == this.reservations.attempt()
				&& this.reservations.isWaitingAt(sideId);
		if (!wanted) {
			this.context.sides().send(sideId, new Message.Release(this.request.requestId(), grant.attempt()));
			return this;
		}
		this.reservations.remove(sideId);
		this.reservations.releaseAll();
		long incarnation = this.context.sides().incarnation(sideId).orElse(0);
		this.running = new RunningAttempt(sideId, incarnation, grant.attempt());
		this.timers.cancel(new RequestEvent.StartDeadline());
		record("run", null, "attempt " + grant.attempt() + " at " + sideId);
		this.context.sides()
			.send(sideId, new Message.Run(this.request.requestId(), grant.attempt(),
					this.request.continuationCall(this.textSoFar.toString())));
		return this;
	}

	private Behavior<RequestEvent> onRefusal(String sideId, Message.Refusal refusal) {
		ResultCode code = ResultCode.ofNumber(refusal.code()).orElse(ResultCode.INTERNAL);
		if (this.running != null && this.running.isFrom(sideId, refusal.attempt())) {
			record("run refused", code, "attempt " + refusal.attempt() + " at " + sideId);
			return onRunLost(code, refusal.retryAfterMillis());
		}
		boolean waited = refusal.attempt() == this.reservations.attempt() && this.reservations.isWaitingAt(sideId);
		if (!waited) {
			return this;
		}
		record("refused", code, "attempt " + refusal.attempt() + " at " + sideId);
		this.reservations.remove(sideId);
		return this.reservations.isWaiting() ? this : retryOrFail(code, refusal.retryAfterMillis());
	}

	private Behavior<RequestEvent> onChunk(String sideId, Message.Chunk chunk) {
		if (this.running == null || !this.running.isFrom(sideId, chunk.attempt()) || !this.running.accept(chunk)) {
			this.context.counters().count(ResultCode.STALE_CHUNK);
			return this;
		}
		if (this.request.isGeneration()) {
			this.textSoFar.append(new String(chunk.payload(), StandardCharsets.UTF_8));
		}
		this.sink.onChunk(chunk.payload());
		if (this.running.isAckDue()) {
			ack(this.running.nextSequence());
		}
		return this;
	}

	private Behavior<RequestEvent> onEnd(String sideId, Message.End end) {
		if (this.running == null || !this.running.isFrom(sideId, end.attempt())) {
			return this;
		}
		if (this.running.nextSequence() != end.chunkCount()) {
			record("resume", ResultCode.RETRY_RESUMED, "gap before the end at " + sideId);
			return resume();
		}
		ack(end.chunkCount() + 1);
		ResultCode code = ResultCode.ofNumber(end.code()).orElse(ResultCode.OK);
		record("end", code, "attempt " + end.attempt() + " at " + sideId + " with " + end.chunkCount() + " chunks");
		this.context.counters().count(code);
		this.sink.onEnd(end);
		return stop();
	}

	private Behavior<RequestEvent> onSideGone(RequestEvent.SideDisconnected event) {
		if (this.running != null && this.running.sideId().equals(event.sideId())) {
			record("connection lost", ResultCode.PEER_CLOSED, event.sideId());
			this.timers.startSingleTimer(new RequestEvent.ResumeDeadline(this.running.attempt()),
					Duration.ofMillis(resumeWaitMillis()));
			return this;
		}
		if (!this.reservations.isWaitingAt(event.sideId())) {
			return this;
		}
		this.reservations.remove(event.sideId());
		return this.reservations.isWaiting() ? this : retryOrFail(ResultCode.NO_BACKEND, 0);
	}

	/**
	 * Returns how long a run waits for a new connection. A generation can go on elsewhere
	 * at the price of a prefill, so it waits no longer than its target for a first token.
	 * @return the wait, in milliseconds
	 */
	private long resumeWaitMillis() {
		long waitMillis = this.context.settings().resumeWaitMillis();
		return this.request.isGeneration() ? Math.min(waitMillis, this.request.requestClass().firstTokenMillis())
				: waitMillis;
	}

	private Behavior<RequestEvent> onSideUnreachable(RequestEvent.SideUnreachable event) {
		boolean runsThere = this.running != null && this.running.sideId().equals(event.sideId());
		if (!runsThere || !this.request.isGeneration()) {
			return this;
		}
		this.abandoned = this.running;
		return onRunLost(ResultCode.SIDE_LOST, 0);
	}

	private Behavior<RequestEvent> onSideBack(RequestEvent.SideConnected event) {
		if (this.abandoned != null && this.abandoned.sideId().equals(event.sideId())) {
			this.context.sides()
				.send(event.sideId(), new Message.Cancel(this.request.requestId(), this.abandoned.attempt()));
			this.abandoned = null;
		}
		if (this.running == null || !this.running.sideId().equals(event.sideId())) {
			return this;
		}
		if (this.running.incarnation() != event.incarnation()) {
			return onRunLost(ResultCode.SIDE_RESTARTED, 0);
		}
		record("resume", ResultCode.RETRY_RESUMED, "new connection to " + event.sideId());
		return resume();
	}

	private Behavior<RequestEvent> resume() {
		this.timers.cancel(new RequestEvent.ResumeDeadline(this.running.attempt()));
		this.context.counters().count(ResultCode.RETRY_RESUMED);
		this.context.sides()
			.send(this.running.sideId(),
					new Message.Resume(this.request.requestId(), this.running.attempt(), this.running.nextSequence()));
		return this;
	}

	private Behavior<RequestEvent> onResumeDeadline(RequestEvent.ResumeDeadline event) {
		if (this.running == null || this.running.attempt() != event.attempt()) {
			return this;
		}
		this.abandoned = this.running;
		return onRunLost(ResultCode.SIDE_LOST, 0);
	}

	/**
	 * Decides what follows a run that ended without a whole answer.
	 * @param code what happened
	 * @param retryAfterMillis when to come back, in milliseconds, or 0
	 * @return the next behavior
	 */
	private Behavior<RequestEvent> onRunLost(ResultCode code, long retryAfterMillis) {
		this.reservations.markTried(this.running.sideId());
		this.running = null;
		return switch (this.recovery.afterRun(code)) {
			case END -> end(code, retryAfterMillis);
			case FAIL -> fail(code, retryAfterMillis);
			case RETRY -> retryOrFail(code, retryAfterMillis);
			case CONTINUE -> goOn(code);
			case REPEAT -> this.sink.tryReset() ? goOnLater(code) : fail(code, retryAfterMillis);
		};
	}

	private Behavior<RequestEvent> goOn(ResultCode cause) {
		countContinuation(ResultCode.RETRY_CONTINUED, cause);
		return startRound();
	}

	private Behavior<RequestEvent> goOnLater(ResultCode cause) {
		countContinuation(ResultCode.RETRY_REPEATABLE, cause);
		long delayMillis = this.context.backoff().delayMillis(this.recovery.continuations());
		this.timers.startSingleTimer(new RequestEvent.RetryDue(), Duration.ofMillis(delayMillis));
		return this;
	}

	private void countContinuation(ResultCode retry, ResultCode cause) {
		this.recovery.onContinuation();
		this.context.counters().count(cause);
		this.context.counters().count(retry);
		record("retry", retry, "after " + cause.number());
	}

	private Behavior<RequestEvent> retryOrFail(ResultCode code, long retryAfterMillis) {
		this.context.counters().count(code);
		long delayMillis = this.context.backoff().delayMillis(this.recovery.retries() + 1);
		boolean late = !this.recovery.mayHaveRun()
				&& this.context.clock().nowMillis() + delayMillis >= this.startDeadlineMillis;
		if (late || !this.recovery.tryRetry(code)) {
			this.context.counters().count(ResultCode.RETRY_DENIED);
			return fail(code, retryAfterMillis);
		}
		this.context.counters().count(ResultCode.RETRY_NOT_RUN);
		record("retry", ResultCode.RETRY_NOT_RUN, "after " + code.number() + " in " + delayMillis + " ms");
		this.timers.startSingleTimer(new RequestEvent.RetryDue(), Duration.ofMillis(delayMillis));
		return this;
	}

	private Behavior<RequestEvent> onCallerGone() {
		cancelRun();
		record("caller gone", ResultCode.CANCELLED_IN_FLIGHT, "");
		this.context.counters().count(ResultCode.CANCELLED_IN_FLIGHT);
		return stop();
	}

	private Behavior<RequestEvent> onStartDeadline() {
		if (this.running != null || this.recovery.mayHaveRun()) {
			return this;
		}
		return fail(ResultCode.DEADLINE_BEFORE_GRANT, 0);
	}

	private Behavior<RequestEvent> onFinishDeadline() {
		boolean ran = this.running != null || this.recovery.mayHaveRun();
		return fail(ran ? ResultCode.DEADLINE_IN_FLIGHT : ResultCode.DEADLINE_BEFORE_GRANT, 0);
	}

	private Behavior<RequestEvent> fail(ResultCode code, long retryAfterMillis) {
		cancelRun();
		boolean mayHaveRun = code.outcome() == ExecutionOutcome.NOT_RUN && this.recovery.mayHaveRun();
		return end(mayHaveRun ? ResultCode.SIDE_LOST : code, retryAfterMillis);
	}

	private Behavior<RequestEvent> end(ResultCode code, long retryAfterMillis) {
		record("fail", code, "after attempt " + this.reservations.attempt());
		this.context.counters().count(code);
		this.sink.onError(code, retryAfterMillis);
		return stop();
	}

	private void cancelRun() {
		if (this.running != null) {
			this.context.sides()
				.send(this.running.sideId(), new Message.Cancel(this.request.requestId(), this.running.attempt()));
		}
	}

	private Behavior<RequestEvent> stop() {
		this.reservations.releaseAll();
		this.context.openRequests().close(this.request.requestId(), this.request.requestClass().name());
		return Behaviors.stopped();
	}

	private void ack(long nextSequence) {
		this.context.sides()
			.send(this.running.sideId(),
					new Message.Ack(this.request.requestId(), this.running.attempt(), nextSequence));
	}

	private void record(String step, ResultCode code, String detail) {
		this.context.decisions().add(this.request.requestId(), step, code, detail);
	}

}
