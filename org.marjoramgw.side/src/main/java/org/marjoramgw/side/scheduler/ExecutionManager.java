package org.marjoramgw.side.scheduler;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;

import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.policy.slot.StallTimeout;
import org.marjoramgw.side.backend.Backend;
import org.marjoramgw.side.backend.BackendRequest;
import org.marjoramgw.side.backend.BackendResult;
import org.marjoramgw.wire.BackendCall;
import org.marjoramgw.wire.Message;

/**
 * Manages the requests whose body was accepted: claims their idempotency keys, executes
 * them at the backend server and forwards the responses.
 *
 * @author The marjoramgw authors
 */
final class ExecutionManager {

	private static final int MAX_TEXT_CHARS = 1_048_576;

	private final MillisClock clock;

	private final Backend backend;

	private final boolean model;

	private final SlotAllocator slots;

	private final RequestTable requests;

	private final IdempotencyClaims claims;

	private final Journal journal;

	private final BackendHealth health;

	private final Consumer<SchedulerCommand> commands;

	ExecutionManager(MillisClock clock, Backend backend, boolean model, SlotAllocator slots, RequestTable requests,
			IdempotencyClaims claims, Journal journal, BackendHealth health, Consumer<SchedulerCommand> commands) {
		this.clock = clock;
		this.backend = backend;
		this.model = model;
		this.slots = slots;
		this.requests = requests;
		this.claims = claims;
		this.journal = journal;
		this.health = health;
		this.commands = commands;
	}

	/**
	 * Accepts the body of a granted request, then claims its idempotency key if it has to
	 * be claimed, or executes the request.
	 * @param request the granted request
	 * @param call the call to run
	 */
	void accept(ScheduledRequest request, BackendCall call) {
		request.accept(call);
		if (this.claims.isNeeded(request)) {
			this.journal.recordDecision(request, "claim", null, "");
			this.claims.claim(request);
			return;
		}
		execute(request);
	}

	/**
	 * Starts an execution of a request at the backend server.
	 * @param request the request, which holds a slot
	 */
	void execute(ScheduledRequest request) {
		long nowMillis = this.clock.nowMillis();
		boolean resumed = request.state() == RequestState.PREEMPTED;
		int execution = request.startExecution(nowMillis);
		if (resumed) {
			this.journal.wasted("preempted_prefill", request.contextTokens());
		}
		if (this.model) {
			this.slots.policy().markResumable(request.key(), request.contextTokens(), execution - 1);
		}
		String requestId = request.key().requestId();
		String executionId = (execution == 1) ? requestId : requestId + "~" + execution;
		this.journal.recordDecision(request, "run", null,
				"execution=" + executionId + " since_arrival_ms=" + (nowMillis - request.waiting().arrivedMillis()));
		BackendRequest backendRequest = new BackendRequest(executionId, requestId, request.waiting().tier(),
				request.call(), this.model ? request.text() : "");
		request.setBackendExecution(this.backend.start(backendRequest,
				new ExecutionListener(request.key(), request.execution(), this.commands)));
	}

	void onResponsePart(SchedulerCommand.ResponsePart part) {
		ScheduledRequest request = findRunning(part.key(), part.execution());
		if (request == null) {
			this.journal.count("late_parts");
			return;
		}
		this.health.onReachable();
		RequestKey key = part.key();
		Message.Chunk chunk = new Message.Chunk(key.requestId(), key.attempt(), request.response().nextSequence(),
				part.tokens(), part.payload());
		if (request.textLength() > MAX_TEXT_CHARS || !request.response().add(chunk)) {
			stop(request, ResultCode.ANSWER_TOO_LARGE);
			return;
		}
		String text = this.model ? new String(part.payload(), StandardCharsets.UTF_8) : "";
		request.addOutput(part.tokens(), text, this.clock.nowMillis());
		this.slots.policy().addGeneratedTokens(key, part.tokens());
		request.send(chunk);
	}

	void onResponseCompleted(SchedulerCommand.ResponseCompleted completed) {
		ScheduledRequest request = findRunning(completed.key(), completed.execution());
		if (request == null) {
			return;
		}
		this.health.onReachable();
		this.claims.recordResult(request, completed.result());
		long slotMillis = request.slotMillis(this.clock.nowMillis());
		this.slots.policy().recordSlotTime(request.waiting().requestClass(), slotMillis);
		finish(request, endMessage(request, completed.result()), completed.result().code());
	}

	void onExecutionFailed(SchedulerCommand.ExecutionFailed failed) {
		ScheduledRequest request = findRunning(failed.key(), failed.execution());
		if (request == null) {
			return;
		}
		ResultCode code = failed.code();
		long retryAfterMillis = 0;
		if (code == ResultCode.BACKEND_UNREACHABLE) {
			this.health.onUnreachable(this.clock.nowMillis());
			retryAfterMillis = this.health.remainingBackoffMillis(this.clock.nowMillis());
		}
		if (code.outcome() == ExecutionOutcome.NOT_RUN && failed.execution() > 1) {
			code = ResultCode.BACKEND_BROKE_OFF;
		}
		if (code.outcome() == ExecutionOutcome.NOT_RUN) {
			this.claims.release(request);
		}
		else {
			this.claims.recordUnknown(request);
		}
		finish(request, refusal(request, code, retryAfterMillis), code);
		if (failed.code() == ResultCode.BACKEND_UNREACHABLE) {
			this.slots.refuseQueued(failed.code(), retryAfterMillis);
			endPreempted();
		}
	}

	/**
	 * Handles the decision on an idempotency claim.
	 * @param decided the claim and the decision on it
	 */
	void onClaimDecided(SchedulerCommand.ClaimDecided decided) {
		ScheduledRequest request = this.requests.get(decided.key());
		if (request == null || request.state() != RequestState.CLAIMING) {
			this.claims.releaseIfWon(decided);
			return;
		}
		IdempotencyClaims.NextAction action = this.claims.nextAction(request, decided.decision(),
				this.clock.nowMillis());
		this.journal.recordDecision(request, "claimed", null, action.toString());
		if (action.mayRun()) {
			execute(request);
		}
		else if (action.repeated() != null) {
			replayRecordedResult(request, action);
		}
		else {
			finish(request, refusal(request, action.refusal(), 0), action.refusal());
		}
	}

	/**
	 * Preempts a stream to give its slot to a request of a higher tier; the stream waits
	 * to be resumed.
	 * @param request the stream to preempt
	 * @param granted the request that gets the slot
	 */
	void preempt(ScheduledRequest request, WaitingRequest granted) {
		request.cancelExecution();
		request.preempt(this.clock.nowMillis());
		this.journal.count("preemptions");
		this.journal.recordDecision(request, "preempt", ResultCode.PREEMPTED,
				"tokens=" + request.generatedTokens() + " for=" + granted.key().requestId() + " for_class="
						+ granted.requestClass() + " for_tier=" + granted.tier());
	}

	/**
	 * Ends a request in flight, whatever its state, with a refusal.
	 * @param request the request
	 * @param code result code; replaced by the code for a request that did not run if the
	 * request still waits for its claim
	 */
	void stop(ScheduledRequest request, ResultCode code) {
		ResultCode reportedCode = code;
		if (request.state() == RequestState.CLAIMING) {
			reportedCode = (code.outcome() == ExecutionOutcome.NOT_RUN) ? code : notRunCodeFor(code);
		}
		else {
			request.cancelExecution();
			this.slots.policy().withdraw(request.key());
			this.journal.wasted("cancelled", request.generatedTokens());
			this.claims.recordUnknown(request);
		}
		finish(request, refusal(request, reportedCode, 0), reportedCode);
	}

	/**
	 * Ends the requests in flight whose deadline has passed.
	 */
	void stopOverdue() {
		long nowMillis = this.clock.nowMillis();
		for (ScheduledRequest request : this.requests
			.matching((candidate) -> candidate.state().isInFlight() && nowMillis > candidate.deadlineMillis())) {
			stop(request, ResultCode.DEADLINE_IN_FLIGHT);
		}
	}

	/**
	 * Ends streams that have received no output within their stall timeout, since a
	 * connection can stop delivering data without an error. The entry continues them on
	 * another backend server.
	 */
	void endStalled() {
		if (!this.model) {
			return;
		}
		long nowMillis = this.clock.nowMillis();
		for (ScheduledRequest request : this.requests
			.matching((candidate) -> candidate.state() == RequestState.RUNNING)) {
			if (nowMillis - request.lastOutputMillis() > stallTimeoutMillis(request)) {
				request.cancelExecution();
				finish(request, refusal(request, ResultCode.BACKEND_BROKE_OFF, 0), ResultCode.BACKEND_BROKE_OFF);
			}
		}
	}

	private long stallTimeoutMillis(ScheduledRequest request) {
		Optional<RequestClass> requestClass = this.slots.configuration()
			.map((configuration) -> configuration.classes().get(request.waiting().requestClass()));
		long firstTokenMillis = requestClass.map(RequestClass::firstTokenMillis).orElse(0L);
		long tokenGapMillis = requestClass.map(RequestClass::tokenGapMillis).orElse(0L);
		return new StallTimeout(firstTokenMillis, tokenGapMillis).timeoutMillis(request.hasExecutionOutput());
	}

	/**
	 * Adjusts the slot limit to the mean token gaps measured since the last call.
	 */
	void adjustSlotLimit() {
		for (ScheduledRequest request : this.requests
			.matching((candidate) -> candidate.state() == RequestState.RUNNING)) {
			double gapMillis = request.tokenGaps().takeMeanMillis();
			if (gapMillis >= 0) {
				this.slots.policy().observeTokenGap(request.waiting().requestClass(), gapMillis);
			}
		}
		this.slots.policy().adjustLimit(this.clock.nowMillis());
	}

	// the entry continues the preempted streams on another backend server
	private void endPreempted() {
		for (ScheduledRequest request : this.requests
			.matching((candidate) -> candidate.state() == RequestState.PREEMPTED)) {
			this.slots.policy().withdraw(request.key());
			finish(request, refusal(request, ResultCode.BACKEND_BROKE_OFF, 0), ResultCode.BACKEND_BROKE_OFF);
		}
	}

	private void replayRecordedResult(ScheduledRequest request, IdempotencyClaims.NextAction action) {
		RequestKey key = request.key();
		byte[] body = action.repeated().body().getBytes(StandardCharsets.UTF_8);
		Message.Chunk chunk = new Message.Chunk(key.requestId(), key.attempt(), 0, 0, body);
		if (!request.response().add(chunk)) {
			finish(request, refusal(request, ResultCode.ANSWER_TOO_LARGE, 0), ResultCode.ANSWER_TOO_LARGE);
			return;
		}
		request.send(chunk);
		BackendResult recorded = new BackendResult(ResultCode.OK_REPEATED, action.repeated().httpStatus(),
				action.repeated().contentType(), "");
		finish(request, endMessage(request, recorded), ResultCode.OK_REPEATED);
	}

	private void finish(ScheduledRequest request, Message finalMessage, ResultCode code) {
		if (code == ResultCode.BACKEND_BROKE_OFF) {
			this.journal.wasted("crashed", request.contextTokens());
		}
		request.finish(finalMessage, this.clock.nowMillis());
		request.send(finalMessage);
		this.journal.recordDecision(request, "end", code,
				"chunks=" + request.response().nextSequence() + " tokens=" + request.generatedTokens());
		this.slots.free(request);
	}

	private ScheduledRequest findRunning(RequestKey key, int execution) {
		ScheduledRequest request = this.requests.get(key);
		boolean isCurrent = request != null && request.state() == RequestState.RUNNING
				&& request.execution() == execution;
		return isCurrent ? request : null;
	}

	private static ResultCode notRunCodeFor(ResultCode code) {
		return (code == ResultCode.DEADLINE_IN_FLIGHT) ? ResultCode.DEADLINE_UNREACHABLE
				: ResultCode.CANCELLED_BEFORE_START;
	}

	private static Message.Refusal refusal(ScheduledRequest request, ResultCode code, long retryAfterMillis) {
		return new Message.Refusal(request.key().requestId(), request.key().attempt(), code.number(), retryAfterMillis);
	}

	private static Message.End endMessage(ScheduledRequest request, BackendResult result) {
		return new Message.End(request.key().requestId(), request.key().attempt(), request.response().nextSequence(),
				result.code().number(), result.httpStatus(), result.contentType(), result.finishReason());
	}

}
