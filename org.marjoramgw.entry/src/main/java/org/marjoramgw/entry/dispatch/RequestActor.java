package org.marjoramgw.entry.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.candidate.Selectors;
import org.marjoramgw.wire.Message;

/**
 * Actor that dispatches one request: reserves slots at several side processes, runs the
 * call at the first one that grants a slot, and forwards the response.
 * <p>
 * An interrupted response is resumed over a new connection, or the call is continued or
 * repeated at another side process where that is safe.
 *
 * @author The marjoramgw authors
 */
public final class RequestActor extends AbstractBehavior<RequestEvent> {

	private final RequestTimers timers;

	private final RoutedRequest request;

	private final DispatchContext context;

	private final ResponseSink sink;

	private final Reservations reservations;

	private final RetryState retryState;

	private final StringBuilder generatedText = new StringBuilder();

	private RunningAttempt running;

	private RunningAttempt abandoned;

	private RequestActor(ActorContext<RequestEvent> actorContext, TimerScheduler<RequestEvent> timers,
			RoutedRequest request, DispatchContext context, ResponseSink sink) {
		super(actorContext);
		this.request = request;
		this.context = context;
		this.sink = sink;
		RequestDeadlines deadlines = RequestDeadlines.of(request.requestClass(), context.clock().nowMillis());
		this.timers = new RequestTimers(timers, request, context);
		this.retryState = new RetryState(request, context, deadlines.startMillis());
		this.reservations = new Reservations(request, context, deadlines.startMillis(), deadlines.finishMillis());
		this.timers.startDeadlines(deadlines);
	}

	/**
	 * Creates the behavior that dispatches one request.
	 * @param request the request
	 * @param context components and limits to use
	 * @param sink receiver of the response
	 * @return the behavior, which stops when the request has ended
	 */
	public static Behavior<RequestEvent> create(RoutedRequest request, DispatchContext context, ResponseSink sink) {
		return Behaviors.setup((actorContext) -> Behaviors.withTimers((timers) -> {
			context.openRequests().register(request.requestId(), actorContext.getSelf());
			context.retryBudget().onRequest(request.requestClass().name(), context.limits().retryPercent());
			return new RequestActor(actorContext, timers, request, context, sink).startRound();
		}));
	}

	@Override
	public Receive<RequestEvent> createReceive() {
		return newReceiveBuilder().onMessage(RequestEvent.MessageReceived.class, this::onMessageReceived)
			.onMessage(RequestEvent.SideDisconnected.class, this::onSideDisconnected)
			.onMessage(RequestEvent.SideConnected.class, this::onSideConnected)
			.onMessage(RequestEvent.SideUnreachable.class, this::onSideUnreachable)
			.onMessage(RequestEvent.CallerDisconnected.class, (event) -> onCallerDisconnected())
			.onMessage(RequestEvent.RetryDue.class, (event) -> startRound())
			.onMessage(RequestEvent.WidenDue.class, (event) -> onWidenDue())
			.onMessage(RequestEvent.StartDeadline.class, (event) -> onStartDeadline())
			.onMessage(RequestEvent.FinishDeadline.class, (event) -> onFinishDeadline())
			.onMessage(RequestEvent.ResumeDeadline.class, this::onResumeDeadline)
			.build();
	}

	private Behavior<RequestEvent> startRound() {
		if (!this.reservations.startRound(this.retryState.mayHaveRun())) {
			return retryOrFail(ResultCode.NO_BACKEND, 0);
		}
		this.timers.startWiden();
		return this;
	}

	private Behavior<RequestEvent> onWidenDue() {
		boolean widening = this.running == null && this.reservations.isWaiting() && isLateBinding();
		if (widening && this.reservations.widen()) {
			this.timers.startWiden();
		}
		return this;
	}

	private boolean isLateBinding() {
		return Selectors.LATE_BINDING.equals(this.context.limits().selector());
	}

	private Behavior<RequestEvent> onMessageReceived(RequestEvent.MessageReceived event) {
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
		boolean expected = this.running == null && grant.attempt() == this.reservations.attempt()
				&& this.reservations.isWaitingAt(sideId);
		if (!expected) {
			this.context.sides().send(sideId, new Message.Release(this.request.requestId(), grant.attempt()));
			return this;
		}
		this.reservations.remove(sideId);
		this.reservations.releaseAll();
		long incarnation = this.context.sides().incarnation(sideId).orElse(0);
		this.running = new RunningAttempt(sideId, incarnation, grant.attempt(), this.request.requestId(),
				this.context.sides());
		this.timers.cancelStartDeadline();
		record("run", null, "attempt " + grant.attempt() + " at " + sideId);
		this.running.start(this.request.continuationCall(this.generatedText.toString()));
		return this;
	}

	private Behavior<RequestEvent> onRefusal(String sideId, Message.Refusal refusal) {
		ResultCode code = ResultCode.ofNumber(refusal.code()).orElse(ResultCode.INTERNAL);
		if (this.running != null && this.running.isFrom(sideId, refusal.attempt())) {
			record("run refused", code, "attempt " + refusal.attempt() + " at " + sideId);
			return onRunFailed(code, refusal.retryAfterMillis());
		}
		boolean expected = refusal.attempt() == this.reservations.attempt() && this.reservations.isWaitingAt(sideId);
		if (!expected) {
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
			this.generatedText.append(new String(chunk.payload(), StandardCharsets.UTF_8));
		}
		this.sink.onChunk(chunk.payload());
		this.running.acknowledgeIfDue();
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
		this.running.acknowledgeEnd(end);
		ResultCode code = ResultCode.ofNumber(end.code()).orElse(ResultCode.OK);
		record("end", code, "attempt " + end.attempt() + " at " + sideId + " with " + end.chunkCount() + " chunks");
		this.context.counters().count(code);
		this.sink.onEnd(end);
		return stop();
	}

	private Behavior<RequestEvent> onSideDisconnected(RequestEvent.SideDisconnected event) {
		if (this.running != null && this.running.sideId().equals(event.sideId())) {
			record("connection lost", ResultCode.PEER_CLOSED, event.sideId());
			this.timers.startResumeDeadline(this.running.attempt());
			return this;
		}
		if (!this.reservations.isWaitingAt(event.sideId())) {
			return this;
		}
		this.reservations.remove(event.sideId());
		return this.reservations.isWaiting() ? this : retryOrFail(ResultCode.NO_BACKEND, 0);
	}

	private Behavior<RequestEvent> onSideUnreachable(RequestEvent.SideUnreachable event) {
		boolean runAffected = this.running != null && this.running.sideId().equals(event.sideId());
		if (!runAffected || !this.request.isGeneration()) {
			return this;
		}
		this.abandoned = this.running;
		return onRunFailed(ResultCode.SIDE_LOST, 0);
	}

	private Behavior<RequestEvent> onSideConnected(RequestEvent.SideConnected event) {
		if (this.abandoned != null && this.abandoned.sideId().equals(event.sideId())) {
			this.abandoned.cancel();
			this.abandoned = null;
		}
		if (this.running == null || !this.running.sideId().equals(event.sideId())) {
			return this;
		}
		if (this.running.incarnation() != event.incarnation()) {
			return onRunFailed(ResultCode.SIDE_RESTARTED, 0);
		}
		record("resume", ResultCode.RETRY_RESUMED, "new connection to " + event.sideId());
		return resume();
	}

	private Behavior<RequestEvent> resume() {
		this.timers.cancelResumeDeadline(this.running.attempt());
		this.context.counters().count(ResultCode.RETRY_RESUMED);
		this.running.resume();
		return this;
	}

	private Behavior<RequestEvent> onResumeDeadline(RequestEvent.ResumeDeadline event) {
		if (this.running == null || this.running.attempt() != event.attempt()) {
			return this;
		}
		this.abandoned = this.running;
		return onRunFailed(ResultCode.SIDE_LOST, 0);
	}

	/**
	 * Ends, retries, continues or repeats a run that ended without a complete response.
	 * @param code result code of the run
	 * @param retryAfterMillis delay after which the caller may retry, in milliseconds, or
	 * 0 if unknown
	 * @return the next behavior
	 */
	private Behavior<RequestEvent> onRunFailed(ResultCode code, long retryAfterMillis) {
		this.reservations.markTried(this.running.sideId());
		this.running = null;
		return switch (this.retryState.nextStep(code)) {
			case END -> endWithError(code, retryAfterMillis);
			case FAIL -> fail(code, retryAfterMillis);
			case RETRY -> retryOrFail(code, retryAfterMillis);
			case CONTINUE -> continueGeneration(code);
			case REPEAT -> this.sink.tryReset() ? repeatAfterBackoff(code) : fail(code, retryAfterMillis);
		};
	}

	private Behavior<RequestEvent> continueGeneration(ResultCode cause) {
		this.retryState.onContinuation(ResultCode.RETRY_CONTINUED, cause);
		return startRound();
	}

	private Behavior<RequestEvent> repeatAfterBackoff(ResultCode cause) {
		this.retryState.onContinuation(ResultCode.RETRY_REPEATABLE, cause);
		this.timers.startRetry(this.context.backoff().delayMillis(this.retryState.continuations()));
		return this;
	}

	private Behavior<RequestEvent> retryOrFail(ResultCode code, long retryAfterMillis) {
		OptionalLong delayMillis = this.retryState.tryRetry(code);
		if (delayMillis.isEmpty()) {
			return fail(code, retryAfterMillis);
		}
		this.timers.startRetry(delayMillis.getAsLong());
		return this;
	}

	private Behavior<RequestEvent> onCallerDisconnected() {
		cancelRun();
		record("caller gone", ResultCode.CANCELLED_IN_FLIGHT, "");
		this.context.counters().count(ResultCode.CANCELLED_IN_FLIGHT);
		return stop();
	}

	private Behavior<RequestEvent> onStartDeadline() {
		if (this.running != null || this.retryState.mayHaveRun()) {
			return this;
		}
		return fail(ResultCode.DEADLINE_BEFORE_GRANT, 0);
	}

	private Behavior<RequestEvent> onFinishDeadline() {
		boolean ran = this.running != null || this.retryState.mayHaveRun();
		return fail(ran ? ResultCode.DEADLINE_IN_FLIGHT : ResultCode.DEADLINE_BEFORE_GRANT, 0);
	}

	private Behavior<RequestEvent> fail(ResultCode code, long retryAfterMillis) {
		cancelRun();
		boolean mayHaveRun = code.outcome() == ExecutionOutcome.NOT_RUN && this.retryState.mayHaveRun();
		return endWithError(mayHaveRun ? ResultCode.SIDE_LOST : code, retryAfterMillis);
	}

	private Behavior<RequestEvent> endWithError(ResultCode code, long retryAfterMillis) {
		record("fail", code, "after attempt " + this.reservations.attempt());
		this.context.counters().count(code);
		this.sink.onError(code, retryAfterMillis);
		return stop();
	}

	private void cancelRun() {
		if (this.running != null) {
			this.running.cancel();
		}
	}

	private Behavior<RequestEvent> stop() {
		this.reservations.releaseAll();
		this.context.openRequests().close(this.request.requestId(), this.request.requestClass().name());
		return Behaviors.stopped();
	}

	private void record(String step, ResultCode code, String detail) {
		this.context.decisions().add(this.request.requestId(), step, code, detail);
	}

}
