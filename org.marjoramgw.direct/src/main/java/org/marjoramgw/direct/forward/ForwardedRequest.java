package org.marjoramgw.direct.forward;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.backend.KeepAlive;
import org.marjoramgw.direct.backend.ResponseKind;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.http.HttpConnection;
import org.marjoramgw.policy.prefill.PrefillLimiter;
import org.marjoramgw.policy.quarantine.Verdict;
import org.marjoramgw.time.ClockReading;
import org.marjoramgw.time.Timers;

/**
 * One request from the receipt of its complete body to its final response; thread-safe.
 * <p>
 * As soon as the first byte of an attempt may have been sent, the request may have run.
 * From then on it is retried only if the server reports that it did not run, or if the
 * request is repeatable.
 *
 * @author The marjoramgw authors
 */
final class ForwardedRequest {

	/** Load that an attempt adds to its server; all requests count the same. */
	private static final double ATTEMPT_LOAD = 1;

	/** Minimum remaining time for another attempt, in milliseconds. */
	private static final long MIN_REMAINING_MILLIS = 30;

	private static final String SUSPECTED_PROMPT = "not sent again, its prompt may have crashed the server: ";

	private final ForwardingContext context;

	private final HttpRequest request;

	private final CallerRequest caller;

	private final ClockReading arrived;

	private final LimitedStart limitedStart;

	private final BooleanSupplier callerDisconnected;

	private final Runnable onEnd;

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	private final AttemptHistory history = new AttemptHistory();

	private AdmittedRequest admittedRequest;

	private PromptRecord promptRecord;

	private String service = "";

	private Timers.Handle timer = Timers.Handle.NONE;

	private Attempt currentAttempt;

	/** Body of the response, if it is a stream that may be resumed. */
	private final ResumableBody resumableBody = new ResumableBody();

	private boolean responded;

	/**
	 * Creates a request.
	 * @param context shared components
	 * @param request the request with its complete body
	 * @param caller decoded request head
	 * @param arrived time of receipt
	 * @param onStarted called when the request was forwarded or answered; may be called
	 * more than once
	 * @param callerDisconnected checks the socket for a disconnect of the caller
	 * @param onEnd called once when nothing is left to send to the caller
	 */
	ForwardedRequest(ForwardingContext context, HttpRequest request, CallerRequest caller, ClockReading arrived,
			Runnable onStarted, BooleanSupplier callerDisconnected, Runnable onEnd) {
		this.context = context;
		this.request = request;
		this.caller = caller;
		this.arrived = arrived;
		this.limitedStart = new LimitedStart(context.startLimiter(), context.timers(), onStarted);
		this.callerDisconnected = callerDisconnected;
		this.onEnd = onEnd;
	}

	/**
	 * Starts the request.
	 * @return the final response
	 */
	synchronized CompletionStage<HttpResponse> start() {
		try {
			this.admittedRequest = this.context.admission().admit(this.caller);
			refuseIfQuarantined(this.context.promptGuard().check(this.caller));
			this.service = this.admittedRequest.route().selectService(this.context.random().nextDouble());
			this.context.retryBudget().onRequest(this.service);
			this.promptRecord = startPromptRecord(this.admittedRequest.route());
			this.timer = this.context.timers().schedule(Math.max(0, remainingMillis()), this::onTimeout);
			this.limitedStart.run(this.admittedRequest.rank(), () -> tryNextServer(ResultCode.NO_BACKEND));
		}
		catch (RequestRejectedException ex) {
			reject(ex.code(), ex.getMessage());
		}
		return this.response;
	}

	/**
	 * Cancels the request because its caller has disconnected.
	 */
	synchronized void cancel() {
		if (this.responded && this.currentAttempt == null) {
			return;
		}
		boolean streaming = this.responded;
		endAttempt(true);
		if (streaming) {
			recordOutcome(ResultCode.CALLER_GONE, 0, "while streaming the response");
		}
		else {
			complete(ResultCode.CALLER_GONE, ErrorResponses.of(ResultCode.CALLER_GONE), "before a response");
		}
	}

	private synchronized void tryNextServer(ResultCode reason) {
		if (this.responded && !isResuming()) {
			return;
		}
		if (remainingMillis() < MIN_REMAINING_MILLIS) {
			reject(ResultCode.TIMEOUT_BEFORE_SEND, "");
			return;
		}
		Optional<BackendServer> server = this.history.mayTry()
				? this.context.serverSelector()
					.choose(this.service, this.admittedRequest.route().name(), this.caller, this.history.excluded())
				: Optional.empty();
		if (server.isEmpty()) {
			reject(reason, "service=" + this.service);
			return;
		}
		if (this.history.wasSent() && !this.context.retryBudget().tryRetry(this.service)) {
			reject(ResultCode.RETRY_BUDGET_SPENT, "");
			return;
		}
		this.history.countTry();
		Attempt attempt = new Attempt(server.get());
		this.currentAttempt = attempt;
		this.context.health().addLoad(attempt.serverId(), ATTEMPT_LOAD);
		Route route = this.admittedRequest.route();
		if (route.isStreaming() && route.targetLatencyMillis() > 0 && this.caller.hasPrompt() && !isResuming()) {
			acquirePrefillPermit(attempt);
		}
		else {
			connect(attempt);
		}
	}

	private void acquirePrefillPermit(Attempt attempt) {
		Route route = this.admittedRequest.route();
		attempt.setPrefillPermit(this.context.prefillLimiter()
			.acquire(attempt.serverId(), route.name(), route.targetLatencyMillis(), () -> connect(attempt)));
		if (!attempt.isStarted()) {
			this.limitedStart.finish();
			this.context.timers()
				.schedule(PrefillLimiter.maxWaitMillis(route.targetLatencyMillis()), () -> sendLate(attempt));
		}
	}

	private synchronized void sendLate(Attempt attempt) {
		if (this.currentAttempt == attempt && !attempt.isStarted()) {
			attempt.markLate();
			connect(attempt);
		}
	}

	private synchronized void connect(Attempt attempt) {
		if (this.currentAttempt != attempt || attempt.isStarted()) {
			return;
		}
		attempt.markStarted();
		this.context.pool()
			.acquire(attempt.server().address(), !this.admittedRequest.route().isRepeatable())
			.whenComplete((connection, failure) -> onConnection(attempt, connection, failure));
	}

	private synchronized void onConnection(Attempt attempt, HttpConnection connection, Throwable failure) {
		if (this.currentAttempt != attempt) {
			if (connection != null) {
				connection.close();
			}
			return;
		}
		if (failure != null) {
			this.context.health().onUnreachable(attempt.serverId());
			retry(attempt, ResultCode.NO_BACKEND, "connect failed: " + failure.getMessage());
			return;
		}
		attempt.setConnection(connection);
		try {
			this.admittedRequest = this.context.admission().admit(this.caller);
			if (!mustChooseAgain(attempt)) {
				refuseIfQuarantined(this.context.promptGuard().checkBeforeSend(this.caller));
				send(attempt);
			}
		}
		catch (RequestRejectedException ex) {
			endAttempt(true);
			reject(ex.code(), ex.getMessage());
		}
	}

	private void refuseIfQuarantined(Optional<Verdict> verdict) throws RequestRejectedException {
		if (verdict.isPresent()) {
			throw new RequestRejectedException(ResultCode.PROMPT_PART_QUARANTINED,
					"model=" + verdict.get().part().model() + " part=" + verdict.get().part().part() + " servers="
							+ String.join(",", verdict.get().servers()));
		}
	}

	/**
	 * Retries or ends the request if it can't be sent to the server that was chosen.
	 * @param attempt the attempt
	 * @return whether it can't be sent
	 */
	private boolean mustChooseAgain(Attempt attempt) {
		if (!this.admittedRequest.route().hasService(this.service)) {
			this.service = this.admittedRequest.route().selectService(this.context.random().nextDouble());
			retry(attempt, ResultCode.NO_BACKEND, "route no longer uses this service");
			return true;
		}
		if (remainingMillis() < MIN_REMAINING_MILLIS || !this.context.directory().isUsable(attempt.serverId())) {
			retry(attempt, ResultCode.NO_BACKEND, "server no longer usable or deadline too close before sending");
			return true;
		}
		if (this.callerDisconnected.getAsBoolean()) {
			cancel();
			return true;
		}
		return false;
	}

	private void send(Attempt attempt) {
		long remainingMillis = remainingMillis();
		HttpRequest backendRequest = this.context.backendDialect()
			.toBackendRequest(this.request, attempt.metadata(this.admittedRequest, remainingMillis,
					isResuming() ? this.resumableBody.lastEventId() : Optional.empty()));
		this.history.onSent(ageMillis());
		attempt.markSent(this.context.clock().now().monotonicMillis());
		attempt.connection()
			.send(backendRequest)
			.whenComplete((response, failure) -> onResponseHead(attempt, response, failure));
		this.limitedStart.finish();
	}

	private synchronized void onResponseHead(Attempt attempt, HttpResponse response, Throwable failure) {
		if (this.currentAttempt != attempt) {
			return;
		}
		if (failure != null) {
			onBrokenResponse(attempt, "no response: " + failure.getMessage());
			return;
		}
		attempt.markAnswering();
		ResponseKind kind = this.context.backendDialect()
			.classify(response, this.caller.id(), attempt.connection().isReused());
		if (isResuming() && isExecuted(kind) && !ResponseBodies.isEventStream(response)) {
			onBrokenResponse(attempt, "stream not resumed, status=" + response.status().intValue());
			return;
		}
		switch (kind) {
			case NOT_RUN -> {
				this.context.health().onFailure(attempt.serverId());
				onNotRun(attempt, response, "status=" + response.status().intValue());
			}
			case MISDIRECTED -> {
				this.context.directory().drop(attempt.serverId());
				onNotRun(attempt, response, "address belongs to another server");
			}
			case UNTRUSTED -> onBrokenResponse(attempt, "untrusted response, status=" + response.status().intValue());
			case SERVER_ERROR -> onServerError(attempt, response);
			default -> {
				if (this.admittedRequest.route().isStreaming()) {
					stream(attempt, response);
				}
				else {
					readFully(attempt, response);
				}
			}
		}
	}

	private static boolean isExecuted(ResponseKind kind) {
		return kind == ResponseKind.VALID || kind == ResponseKind.SERVER_ERROR;
	}

	private void onNotRun(Attempt attempt, HttpResponse response, String detail) {
		attempt.markNotRun();
		response.discardEntityBytes(this.context.system());
		retry(attempt, ResultCode.BACKENDS_REFUSED, detail);
	}

	private void onServerError(Attempt attempt, HttpResponse response) {
		this.context.health().onFailure(attempt.serverId());
		if (this.history.mayRunAgain(this.admittedRequest.route()) && remainingMillis() > MIN_REMAINING_MILLIS) {
			this.history.countPossibleRun();
			response.discardEntityBytes(this.context.system());
			retry(attempt, ResultCode.BACKEND_ERROR, "status=" + response.status().intValue());
			return;
		}
		readFully(attempt, response);
	}

	private void readFully(Attempt attempt, HttpResponse response) {
		ResponseBodies.readFully(response, remainingMillis(), this.context.bodyBudget(), this.context.system())
			.whenComplete((body, failure) -> onFullBody(attempt, response, body, failure));
	}

	private synchronized void onFullBody(Attempt attempt, HttpResponse response, HttpEntity.Strict body,
			Throwable failure) {
		if (this.currentAttempt != attempt) {
			return;
		}
		if (failure != null) {
			onBrokenResponse(attempt, ResponseBodies.failureCode(failure),
					"incomplete response: " + failure.getMessage());
			return;
		}
		if (response.status().isSuccess()) {
			this.context.health().onSuccess(attempt.serverId());
			this.context.promptGuard().onAnswer(this.caller);
		}
		this.context.pool().release(attempt.takeConnection(), KeepAlive.keepMillis(response));
		endAttempt(false);
		ResultCode code = response.status().isSuccess() ? ResultCode.OK : ResultCode.BACKEND_ERROR;
		complete(code, this.context.callerDialect().toCallerResponse(response).withEntity(body),
				"server=" + attempt.serverId());
	}

	private void stream(Attempt attempt, HttpResponse response) {
		this.context.health().onSuccess(attempt.serverId());
		PauseMeter pauses = this.promptRecord.pauseMeter(() -> this.context.clock().now().monotonicMillis());
		BodyObserver observer = new StreamObserver(() -> onFirstEvent(attempt), () -> onProgress(attempt), pauses,
				(code, detail) -> onStreamEnd(attempt, response, pauses, code, detail));
		Source<ByteString, ?> body = response.entity()
			.getDataBytes()
			.via(new ObservedBody(observer, ResponseBodies.isEventStream(response)));
		if (isResuming()) {
			this.resumableBody.continueWith(body);
			return;
		}
		if (this.admittedRequest.route().resumable() && ResponseBodies.isEventStream(response)) {
			body = this.resumableBody.start(body);
		}
		this.responded = true;
		this.response.complete(this.context.callerDialect()
			.toCallerResponse(response)
			.withEntity(ResponseBodies.streamed(response, body)));
	}

	private synchronized void onFirstEvent(Attempt attempt) {
		attempt.onFirstToken();
		this.history.onFirstBytes(ageMillis());
	}

	private synchronized void onProgress(Attempt attempt) {
		if (!this.history.hasAnswered()) {
			this.history.markAnswered();
			this.context.promptGuard().onAnswer(this.caller);
		}
	}

	private synchronized void onStreamEnd(Attempt attempt, HttpResponse response, PauseMeter pauses, ResultCode code,
			String cause) {
		if (this.currentAttempt != attempt) {
			return;
		}
		String detail = (code != ResultCode.OK) ? cause + describePrompt(attempt) : cause;
		this.history.onPause(pauses.longestMillis());
		this.promptRecord.endStream();
		if (code == ResultCode.OK) {
			onProgress(attempt);
			this.context.pool().release(attempt.takeConnection(), KeepAlive.keepMillis(response));
		}
		else if (code != ResultCode.CALLER_GONE) {
			this.context.health().onFailure(attempt.serverId());
			CompletionStage<Boolean> mayRetry = checkServer(attempt);
			if (this.resumableBody.isStarted() && this.history.mayRunAgain(this.admittedRequest.route())) {
				this.resumableBody.interrupt();
				mayRetry.thenAccept((allowed) -> resume(attempt, allowed, detail));
				return;
			}
		}
		endAttempt(code != ResultCode.OK);
		recordOutcome(code, response.status().intValue(), "server=" + attempt.serverId() + detail);
	}

	private PromptRecord startPromptRecord(Route route) {
		PromptRecord started = new PromptRecord(this.context.promptPartition(), this.service, route);
		if (route.isStreaming() && this.caller.hasPrompt()) {
			started.start(this.caller.promptTokenCount());
		}
		return started;
	}

	private synchronized void resume(Attempt attempt, boolean allowed, String detail) {
		if (this.currentAttempt != attempt) {
			return;
		}
		this.history.countPossibleRun();
		if (!allowed) {
			endAttempt(true);
			reject(ResultCode.BACKEND_BROKE_OFF, SUSPECTED_PROMPT + detail);
			return;
		}
		retry(attempt, ResultCode.BACKEND_BROKE_OFF,
				"last_event=" + this.resumableBody.lastEventId().orElse("none") + detail);
	}

	private boolean isResuming() {
		return this.resumableBody.isInterrupted();
	}

	private void onBrokenResponse(Attempt attempt, String detail) {
		onBrokenResponse(attempt, ResultCode.BACKEND_BROKE_OFF, detail);
	}

	private void onBrokenResponse(Attempt attempt, ResultCode code, String cause) {
		String detail = cause + describePrompt(attempt);
		this.context.health().onFailure(attempt.serverId());
		CompletionStage<Boolean> mayRetry = checkServer(attempt);
		if (this.history.mayRunAgain(this.admittedRequest.route())) {
			mayRetry.thenAccept((allowed) -> runAgain(attempt, allowed, code, detail));
			return;
		}
		endAttempt(true);
		reject(code, "server=" + attempt.serverId() + " " + detail);
	}

	/**
	 * Asks the guard about a server whose connection broke.
	 * @param attempt the attempt that failed
	 * @return whether the request may be sent to another server
	 */
	private CompletionStage<Boolean> checkServer(Attempt attempt) {
		if (this.history.hasAnswered() || !attempt.mayHaveRun()) {
			return CompletableFuture.completedFuture(true);
		}
		return this.context.promptGuard()
			.onUnanswered(attempt.server(), this.caller, attempt.isAnswering(), attempt.sentMillis());
	}

	private synchronized void runAgain(Attempt attempt, boolean allowed, ResultCode code, String detail) {
		if (this.currentAttempt != attempt) {
			return;
		}
		this.history.countPossibleRun();
		if (allowed) {
			retry(attempt, code, detail);
			return;
		}
		endAttempt(true);
		reject(code, "server=" + attempt.serverId() + " " + SUSPECTED_PROMPT + detail);
	}

	private String describePrompt(Attempt attempt) {
		return this.caller.hasPrompt() ? " begun=" + attempt.hasBegun() + " model=" + this.caller.model() + " parts="
				+ String.join(",", this.caller.sharedPartIds()) : "";
	}

	private void retry(Attempt attempt, ResultCode reason, String detail) {
		ResultCode kind = attempt.mayHaveRun() ? ResultCode.RETRY_REPEATABLE : ResultCode.RETRY_NOT_RUN;
		this.context.requestLog()
			.recordRetry(isResuming() ? ResultCode.RETRY_CONTINUED : kind, this.caller.id(), attempt.serverId(),
					detail);
		endAttempt(true);
		this.history.exclude(attempt.serverId());
		tryNextServer(reason);
	}

	private synchronized void onTimeout() {
		if (this.currentAttempt == null && this.responded) {
			return;
		}
		boolean mayHaveRun = this.history.mayHaveRun()
				|| this.currentAttempt != null && this.currentAttempt.mayHaveRun();
		endAttempt(true);
		if (this.responded) {
			this.resumableBody.abandon("timeout of the request");
			recordOutcome(ResultCode.DEADLINE_IN_FLIGHT, 0, "stream cut off at the timeout of the request");
			return;
		}
		reject(mayHaveRun ? ResultCode.DEADLINE_IN_FLIGHT : ResultCode.TIMEOUT_BEFORE_SEND, "service=" + this.service);
	}

	private void endAttempt(boolean closeConnection) {
		Attempt ended = this.currentAttempt;
		this.currentAttempt = null;
		if (ended == null) {
			return;
		}
		ended.end();
		this.context.health().addLoad(ended.serverId(), -ATTEMPT_LOAD);
		HttpConnection connection = ended.takeConnection();
		if (closeConnection && connection != null) {
			connection.close();
		}
	}

	private void reject(ResultCode code, String detail) {
		ResultCode adjustedCode = this.history.adjustForPossibleRun(code);
		if (isResuming()) {
			this.resumableBody.abandon(detail);
			recordOutcome(adjustedCode, 0, "stream not resumed: " + detail);
			return;
		}
		complete(adjustedCode,
				this.context.callerDialect().withRequestId(ErrorResponses.of(adjustedCode), this.caller.id()), detail);
	}

	private void complete(ResultCode code, HttpResponse response, String detail) {
		this.responded = true;
		recordOutcome(code, response.status().intValue(), detail);
		this.response.complete(response);
	}

	private void recordOutcome(ResultCode code, int status, String detail) {
		this.timer.cancel();
		this.limitedStart.finish();
		if (this.promptRecord != null) {
			this.promptRecord.end();
		}
		this.onEnd.run();
		long tookMillis = ageMillis();
		String decision = AdmittedRequest.NOT_ADMITTED;
		String route = "";
		if (this.admittedRequest != null) {
			decision = this.admittedRequest.describe();
			route = this.admittedRequest.route().name();
			this.context.requestLog()
				.recordAttainment(route, this.history.attainment(code, this.admittedRequest.route(), tookMillis));
		}
		this.context.requestLog()
			.recordCompletion(code, this.caller.id(), route, status, tookMillis, detail + " " + decision
					+ " confirmed_ms=" + this.context.routing().ageMillis() + " " + this.history.describe());
	}

	private long ageMillis() {
		return this.context.clock().ageMillis(this.arrived);
	}

	private long remainingMillis() {
		return this.caller.effectiveTimeoutMillis(this.admittedRequest.route().timeoutMillis()) - ageMillis();
	}

}
