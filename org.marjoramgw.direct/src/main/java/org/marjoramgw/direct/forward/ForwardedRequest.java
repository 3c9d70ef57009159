package org.marjoramgw.direct.forward;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.backend.KeepAlive;
import org.marjoramgw.direct.backend.ResponseKind;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.policy.stream.StreamOrigin;
import org.marjoramgw.time.ClockReading;
import org.tinylog.Logger;

/**
 * One request from the receipt of its complete body to its final response; thread-safe.
 * <p>
 * As soon as the first byte of an attempt may have been sent, the request may have run.
 * From then on it is retried only if the server reports that it did not run, or if the
 * request is repeatable.
 *
 * @author The marjoramgw authors
 */
final class ForwardedRequest implements AttemptLauncher.Listener {

	private final ForwardingContext context;

	private final RequestState state;

	private final LimitedStart limitedStart;

	private final AttemptLauncher launcher;

	private final RequestOwner owner;

	private final RequestCompletion completion;

	private StreamRelay streamRelay;

	private final CurrentAttempt currentAttempt;

	/**
	 * Creates a request.
	 * @param context shared components
	 * @param request the request with its complete body
	 * @param caller decoded request head
	 * @param arrived when its first bytes were read
	 * @param owner owner of the request
	 */
	ForwardedRequest(ForwardingContext context, HttpRequest request, CallerRequest caller, ClockReading arrived,
			RequestOwner owner) {
		this.context = context;
		this.state = new RequestState(context, request, caller, arrived);
		this.limitedStart = new LimitedStart(context.startLimiter(), context.startTimeouts(), owner);
		this.launcher = new AttemptLauncher(context, this.state, this.limitedStart, this, this);
		this.owner = owner;
		this.currentAttempt = new CurrentAttempt(context.health());
		this.completion = new RequestCompletion(context, this.state, this.limitedStart, owner::onEnd);
	}

	/**
	 * Starts the request.
	 * @return the final response
	 */
	CompletionStage<HttpResponse> start() {
		this.context.admission().settle(this.state.caller()).thenRun(this::begin).exceptionally(this::onFault);
		return this.completion.response();
	}

	private synchronized void begin() {
		if (this.completion.isResponded()) {
			// The caller left, or the process stops.
			return;
		}
		try {
			this.state.admit();
			if (!this.owner.mayBegin(this.state.remainingMillis())) {
				throw new RequestRejectedException(ResultCode.ENTRY_LEAVING, "");
			}
			this.state.prompt().check(this::onQuarantined);
			this.state.selectService();
			this.context.retryBudget().onRequest(this.state.service());
			PromptRecord promptRecord = PromptRecord.start(this.context.promptPartition(), this.state.service(),
					this.state.route(), this.state.caller());
			this.streamRelay = new StreamRelay(this.context, this.state, promptRecord, this);
			this.completion.hold(promptRecord);
			if (this.state.isTakenUp()) {
				this.state.locateOrigin().thenAccept(this::takeUp).exceptionally(this::onFault);
			}
			else {
				waitForTurn(ResultCode.NO_BACKEND);
			}
		}
		catch (RequestRejectedException ex) {
			this.completion.reject(ex.code(), ex.getMessage());
		}
	}

	private synchronized void takeUp(Optional<StreamOrigin> origin) {
		if (this.completion.isResponded()) {
			return;
		}
		try {
			this.state.setOrigin(
					origin.orElseThrow(() -> new RequestRejectedException(ResultCode.STREAM_ORIGIN_UNKNOWN, "")));
			waitForTurn(ResultCode.NO_BACKEND);
		}
		catch (RequestRejectedException ex) {
			this.completion.reject(ex.code(), ex.getMessage());
		}
	}

	/**
	 * Answers the request after a fault of this process, for which its caller would wait
	 * until its timeout.
	 * @param fault the fault
	 * @return {@code null}
	 */
	private synchronized Void onFault(Throwable fault) {
		Logger.error(fault, "request {} not begun", this.state.caller().id());
		if (!this.completion.isResponded()) {
			this.completion.reject(ResultCode.INTERNAL, fault.toString());
		}
		return null;
	}

	/**
	 * Cancels the request because its caller has disconnected.
	 */
	synchronized void cancel() {
		if (this.completion.isResponded() && this.currentAttempt.isNone()) {
			return;
		}
		boolean streaming = this.completion.isResponded();
		this.currentAttempt.end(true);
		if (streaming) {
			this.completion.record(ResultCode.CALLER_GONE, 0, "while streaming the response");
		}
		else {
			this.completion.complete(ResultCode.CALLER_GONE, ErrorResponses.of(ResultCode.CALLER_GONE),
					"before a response");
		}
	}

	/**
	 * Answers the request because the process stops, unless its response has begun.
	 */
	synchronized void giveUp() {
		if (this.completion.isResponded()) {
			return;
		}
		boolean mayHaveRun = mayHaveRun();
		this.currentAttempt.end(true);
		this.completion.reject(mayHaveRun ? ResultCode.ENTRY_STOPPED : ResultCode.ENTRY_LEAVING,
				"service=" + this.state.service());
	}

	/**
	 * Lets the request wait for its turn in this process, but not longer than a server
	 * can still answer it.
	 * @param reason result code if no server is left
	 */
	private void waitForTurn(ResultCode reason) {
		if (!this.state.maySend()) {
			this.completion.reject(ResultCode.TIMEOUT_BEFORE_SEND, "");
			return;
		}
		this.completion.setTimer(this.context.timers().schedule(this.state.maxWaitMillis(), this::onWaitLimit));
		this.limitedStart.run(this.state.urgency(), () -> tryNextServer(reason));
	}

	/**
	 * Refuses the request if it still waits, or leaves it its time for the answer.
	 */
	private synchronized void onWaitLimit() {
		if (this.completion.isResponded()) {
			return;
		}
		if (!this.currentAttempt.mayHaveRun()) {
			onTimeout();
			return;
		}
		startTimeout();
	}

	private void startTimeout() {
		this.completion
			.setTimer(this.context.timers().schedule(Math.max(0, this.state.remainingMillis()), this::onTimeout));
	}

	private synchronized void tryNextServer(ResultCode reason) {
		if (this.completion.isResponded() && !this.state.isResuming()) {
			return;
		}
		this.state.history().onTurn(this.state.ageMillis());
		try {
			Attempt attempt = this.launcher.choose(reason);
			this.currentAttempt.begin(attempt);
			this.launcher.launch(attempt);
		}
		catch (RequestRejectedException ex) {
			this.completion.reject(ex.code(), ex.getMessage());
		}
	}

	@Override
	public void onSent(Attempt attempt, CompletionStage<HttpResponse> head) {
		head.whenComplete((response, failure) -> onResponseHead(attempt, response, failure));
	}

	@Override
	public void onUnsendable(Attempt attempt, String detail) {
		retry(attempt, ResultCode.NO_BACKEND, detail);
	}

	@Override
	public void onRejected(RequestRejectedException rejection) {
		this.currentAttempt.end(true);
		this.completion.reject(rejection.code(), rejection.getMessage());
	}

	@Override
	public boolean isCallerDisconnected() {
		return this.owner.isCallerDisconnected();
	}

	@Override
	public void onCallerDisconnected() {
		cancel();
	}

	private synchronized void onResponseHead(Attempt attempt, HttpResponse response, Throwable failure) {
		if (!this.currentAttempt.is(attempt)) {
			return;
		}
		if (failure != null) {
			onBrokenResponse(attempt, ResponseBodies.failureCode(failure), "no response: " + failure.getMessage());
			return;
		}
		attempt.markAnswering();
		ResponseKind kind = this.context.backendDialect()
			.classify(response, this.state.caller().id(), attempt.connection().isReused());
		if (this.state.isResuming() && kind.isExecuted() && !ResponseBodies.isEventStream(response)) {
			onBrokenResponse(attempt, ResultCode.BACKEND_BROKE_OFF,
					"stream not resumed, status=" + response.status().intValue());
			return;
		}
		switch (kind) {
			case NOT_RUN -> {
				this.currentAttempt.fail();
				onNotRun(attempt, response, "status=" + response.status().intValue());
			}
			case MISDIRECTED -> {
				this.context.directory().drop(attempt.serverId());
				onNotRun(attempt, response, "address belongs to another server");
			}
			case UNTRUSTED -> onBrokenResponse(attempt, ResultCode.BACKEND_BROKE_OFF,
					"untrusted response, status=" + response.status().intValue());
			case SERVER_ERROR -> onServerError(attempt, response);
			default -> {
				if (this.state.route().isStreaming()) {
					stream(attempt, response);
				}
				else {
					readFully(attempt, response);
				}
			}
		}
	}

	private void onNotRun(Attempt attempt, HttpResponse response, String detail) {
		attempt.markNotRun();
		response.discardEntityBytes(this.context.system());
		retry(attempt, ResultCode.BACKENDS_REFUSED, detail);
	}

	private void onServerError(Attempt attempt, HttpResponse response) {
		this.currentAttempt.fail();
		if (this.state.mayRunAgain() && this.state.maySend()) {
			this.state.history().countPossibleRun();
			response.discardEntityBytes(this.context.system());
			retry(attempt, ResultCode.BACKEND_ERROR, "status=" + response.status().intValue());
			return;
		}
		readFully(attempt, response);
	}

	private void readFully(Attempt attempt, HttpResponse response) {
		ResponseBodies
			.readFully(response, this.state.remainingMillis(), this.context.bodyBudget(), this.context.bodyReader())
			.whenComplete((body, failure) -> onFullBody(attempt, response, body, failure));
	}

	private synchronized void onFullBody(Attempt attempt, HttpResponse response, HttpEntity.Strict body,
			Throwable failure) {
		if (!this.currentAttempt.is(attempt)) {
			return;
		}
		if (failure != null) {
			onBrokenResponse(attempt, ResponseBodies.failureCode(failure),
					"incomplete response: " + failure.getMessage());
			return;
		}
		if (response.status().isSuccess()) {
			this.context.health().onSuccess(attempt.serverId());
			attempt.onFirstToken();
			this.state.prompt().onComplete(attempt, true, ResponseBodies.isEndCertain(response));
		}
		this.context.pool().release(attempt.takeConnection(), KeepAlive.keepMillis(response));
		this.currentAttempt.end(false);
		ResultCode code = response.status().isSuccess() ? ResultCode.OK : ResultCode.BACKEND_ERROR;
		this.completion.complete(code, this.context.callerDialect().toCallerResponse(response, body),
				"server=" + attempt.serverId());
	}

	private void stream(Attempt attempt, HttpResponse response) {
		Source<ByteString, ?> body = this.streamRelay.relay(attempt, response,
				(code, detail) -> onStreamEnd(attempt, response, code, detail));
		if (this.state.isResuming()) {
			this.state.resumableBody().continueWith(body);
			return;
		}
		if (this.state.route().resumable() && ResponseBodies.isEventStream(response)) {
			body = this.state.resumableBody().start(body);
		}
		startTimeout();
		this.completion.startStream(
				this.context.callerDialect().toCallerResponse(response, ResponseBodies.streamed(response, body)));
	}

	private void onStreamEnd(Attempt attempt, HttpResponse response, ResultCode code, String detail) {
		if (code == ResultCode.OK) {
			this.context.pool().release(attempt.takeConnection(), KeepAlive.keepMillis(response));
		}
		else if (code != ResultCode.CALLER_GONE) {
			this.currentAttempt.fail();
			CompletionStage<Boolean> mayGoElsewhere = this.state.prompt().mayGoElsewhere(attempt);
			if (this.state.resumableBody().isStarted() && this.state.mayRunAgain()) {
				this.state.resumableBody().interrupt();
				mayGoElsewhere.thenAccept((allowed) -> resume(attempt, allowed, detail));
				return;
			}
		}
		this.currentAttempt.end(code != ResultCode.OK);
		this.completion.record(code, response.status().intValue(), "server=" + attempt.serverId() + detail);
	}

	private synchronized void resume(Attempt attempt, boolean allowed, String detail) {
		if (!this.currentAttempt.is(attempt)) {
			return;
		}
		this.state.history().countPossibleRun();
		if (!allowed) {
			this.currentAttempt.end(true);
			this.completion.reject(ResultCode.BACKEND_BROKE_OFF, GuardedPrompt.SUSPECTED + detail);
			return;
		}
		retry(attempt, ResultCode.BACKEND_BROKE_OFF,
				"last_event=" + this.state.resumableBody().lastEventId().orElse("none") + detail);
	}

	private void onBrokenResponse(Attempt attempt, ResultCode code, String cause) {
		String detail = cause + this.state.prompt().describe(attempt);
		this.currentAttempt.fail();
		CompletionStage<Boolean> mayGoElsewhere = this.state.prompt().mayGoElsewhere(attempt);
		if (this.state.mayRunAgain()) {
			mayGoElsewhere.thenAccept((allowed) -> runAgain(attempt, allowed, code, detail));
			return;
		}
		this.currentAttempt.end(true);
		this.completion.reject(code, "server=" + attempt.serverId() + " " + detail);
	}

	private synchronized void runAgain(Attempt attempt, boolean allowed, ResultCode code, String detail) {
		if (!this.currentAttempt.is(attempt)) {
			return;
		}
		this.state.history().countPossibleRun();
		if (allowed) {
			retry(attempt, code, detail);
			return;
		}
		this.currentAttempt.end(true);
		this.completion.reject(code, "server=" + attempt.serverId() + " " + GuardedPrompt.SUSPECTED + detail);
	}

	private void retry(Attempt attempt, ResultCode reason, String detail) {
		ResultCode kind = attempt.mayHaveRun() ? ResultCode.RETRY_REPEATABLE : ResultCode.RETRY_NOT_RUN;
		this.context.requestLog()
			.recordRetry(this.state.isResuming() ? ResultCode.RETRY_CONTINUED : kind, this.state.caller().id(),
					attempt.serverId(), detail);
		this.currentAttempt.end(true);
		this.state.history().exclude(attempt.serverId());
		if (this.state.isResuming() || !this.state.history().mayTry()) {
			// A caller that has a part of the answer must not wait for the next, and one
			// whose request isn't sent again must not wait for the refusal.
			tryNextServer(reason);
		}
		else {
			waitForTurn(reason);
		}
	}

	private synchronized void onTimeout() {
		if (this.currentAttempt.isNone() && this.completion.isResponded()) {
			return;
		}
		boolean mayHaveRun = mayHaveRun();
		this.currentAttempt.markOverdue();
		this.currentAttempt.end(true);
		this.completion.reject(mayHaveRun ? ResultCode.DEADLINE_IN_FLIGHT : ResultCode.TIMEOUT_BEFORE_SEND,
				"service=" + this.state.service());
	}

	private boolean mayHaveRun() {
		return this.state.history().mayHaveRun() || this.currentAttempt.mayHaveRun();
	}

	/**
	 * Ends the request if a part of its prompt was quarantined before its answer began,
	 * so that its server doesn't begin it.
	 */
	private synchronized void onQuarantined() {
		if (!this.currentAttempt.awaitsAnswer()) {
			return;
		}
		if (this.currentAttempt.mayHaveRun()) {
			this.state.history().countPossibleRun();
		}
		this.currentAttempt.end(true);
		this.completion.reject(ResultCode.PROMPT_PART_QUARANTINED, GuardedPrompt.QUARANTINED);
	}

}
