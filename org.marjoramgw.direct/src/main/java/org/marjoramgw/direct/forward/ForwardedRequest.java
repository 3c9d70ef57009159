package org.marjoramgw.direct.forward;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;

import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.backend.KeepAlive;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.http.HttpConnection;
import org.marjoramgw.policy.prefill.PrefillLimiter;
import org.marjoramgw.time.ClockReading;
import org.marjoramgw.time.Timers;

/**
 * Course of one request from its whole body to its final answer; thread-safe.
 * <p>
 * An attempt may have run from the moment its first byte may have left. It is sent again
 * only after the server said that it did not run, or if the request may run twice.
 *
 * @author The marjoramgw authors
 */
final class ForwardedRequest {

	/** Work that an attempt puts on its server: requests are counted. */
	private static final double ATTEMPT_LOAD = 1;

	/** Less time than this is not worth another attempt, in milliseconds. */
	private static final long MIN_REMAINING_MILLIS = 30;

	private final ForwardingContext context;

	private final HttpRequest request;

	private final CallerRequest caller;

	private final ClockReading arrived;

	private final GatedStart gatedStart;

	private final BooleanSupplier callerDisconnected;

	private final Runnable onEnd;

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	private final AttemptHistory history = new AttemptHistory();

	private AdmittedRequest admittedRequest;

	private String service = "";

	private Timers.Handle timer = Timers.Handle.NONE;

	private Attempt currentAttempt;

	private boolean responded;

	/**
	 * Creates a request.
	 * @param parts what all requests use
	 * @param request the request with its whole body
	 * @param caller what its head says
	 * @param arrived when it came in
	 * @param onStarted called when it was passed on or answered, more than once perhaps
	 * @param callerHasLeft asks the system whether the caller has closed its connection
	 * @param onEnd called once when nothing of it is left to send to the caller
	 */
	ForwardedRequest(ForwardingContext parts, HttpRequest request, CallerRequest caller, ClockReading arrived,
			Runnable onStarted, BooleanSupplier callerHasLeft, Runnable onEnd) {
		this.context = parts;
		this.request = request;
		this.caller = caller;
		this.arrived = arrived;
		this.gatedStart = new GatedStart(parts.startGate(), parts.timers(), onStarted);
		this.callerDisconnected = callerHasLeft;
		this.onEnd = onEnd;
	}

	/**
	 * Starts the request.
	 * @return its final answer
	 */
	synchronized CompletionStage<HttpResponse> start() {
		try {
			this.admittedRequest = this.context.admission().admit(this.caller);
			this.service = this.admittedRequest.route().selectService(this.context.random().nextDouble());
			this.context.retryBudget().onRequest(this.service);
			this.timer = this.context.timers().schedule(Math.max(0, remainingMillis()), this::onTimeout);
			this.gatedStart.run(this.admittedRequest.rank(), () -> tryNextServer(ResultCode.NO_BACKEND));
		}
		catch (RequestRejectedException ex) {
			reject(ex.code(), ex.getMessage());
		}
		return this.response;
	}

	/**
	 * Ends the request because its caller is gone.
	 */
	synchronized void cancel() {
		if (this.responded && this.currentAttempt == null) {
			return;
		}
		boolean streaming = this.responded;
		endAttempt(true);
		if (streaming) {
			recordOutcome(ResultCode.CALLER_GONE, 0, "while the answer was streamed");
		}
		else {
			complete(ResultCode.CALLER_GONE, ErrorResponses.of(ResultCode.CALLER_GONE), "before an answer");
		}
	}

	private synchronized void tryNextServer(ResultCode reason) {
		if (this.responded) {
			return;
		}
		if (remainingMillis() < MIN_REMAINING_MILLIS) {
			reject(ResultCode.TIMEOUT_BEFORE_SEND, "");
			return;
		}
		Optional<BackendServer> server = this.history.mayTry()
				? this.context.serverSelector().choose(this.service, this.caller, this.history.excluded())
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
		Attempt next = new Attempt(server.get());
		this.currentAttempt = next;
		this.context.health().addLoad(next.serverId(), ATTEMPT_LOAD);
		Route route = this.admittedRequest.route();
		if (route.isStreaming() && route.targetLatencyMillis() > 0 && this.caller.hasPrompt()) {
			waitForPrefill(next);
		}
		else {
			connect(next);
		}
	}

	private void waitForPrefill(Attempt next) {
		Route route = this.admittedRequest.route();
		next.setPrefillPlace(this.context.prefillGate()
			.acquire(next.serverId(), route.name(), route.targetLatencyMillis(), () -> connect(next)));
		if (!next.isStarted()) {
			this.gatedStart.finish();
			this.context.timers()
				.schedule(PrefillLimiter.maxWaitMillis(route.targetLatencyMillis()), () -> demote(next));
		}
	}

	private synchronized void demote(Attempt next) {
		if (this.currentAttempt == next && !next.isStarted()) {
			next.demote();
			connect(next);
		}
	}

	private synchronized void connect(Attempt next) {
		if (this.currentAttempt != next || next.isStarted()) {
			return;
		}
		next.markStarted();
		this.context.pool()
			.acquire(next.server().address(), !this.admittedRequest.route().isRepeatable())
			.whenComplete((connection, failure) -> onConnection(next, connection, failure));
	}

	private synchronized void onConnection(Attempt of, HttpConnection connection, Throwable failure) {
		if (this.currentAttempt != of) {
			if (connection != null) {
				connection.close();
			}
			return;
		}
		if (failure != null) {
			this.context.health().onUnreachable(of.serverId());
			retry(of, ResultCode.NO_BACKEND, "connect failed: " + failure.getMessage());
			return;
		}
		of.setConnection(connection);
		try {
			this.admittedRequest = this.context.admission().admit(this.caller);
			send(of);
		}
		catch (RequestRejectedException ex) {
			endAttempt(true);
			reject(ex.code(), ex.getMessage());
		}
	}

	private void send(Attempt of) {
		if (!this.admittedRequest.route().hasService(this.service)) {
			this.service = this.admittedRequest.route().selectService(this.context.random().nextDouble());
			retry(of, ResultCode.NO_BACKEND, "route leads to another service now");
			return;
		}
		long remainingMillis = remainingMillis();
		if (remainingMillis < MIN_REMAINING_MILLIS || !this.context.directory().isUsable(of.serverId())) {
			retry(of, ResultCode.NO_BACKEND, "server left before the send");
			return;
		}
		if (this.callerDisconnected.getAsBoolean()) {
			cancel();
			return;
		}
		HttpRequest sent = this.context.backendDialect()
			.toBackendRequest(this.request, of.metadata(this.admittedRequest, remainingMillis));
		this.history.onSent(ageMillis());
		of.markSent();
		of.connection().send(sent).whenComplete((response, failure) -> onResponseHead(of, response, failure));
		this.gatedStart.finish();
	}

	private synchronized void onResponseHead(Attempt of, HttpResponse response, Throwable failure) {
		if (this.currentAttempt != of) {
			return;
		}
		if (failure != null) {
			onBrokenResponse(of, "no answer: " + failure.getMessage());
			return;
		}
		switch (this.context.backendDialect().classify(response, this.caller.id())) {
			case NOT_RUN -> {
				this.context.health().onFailure(of.serverId());
				onNotRun(of, response, "status=" + response.status().intValue());
			}
			case MISDIRECTED -> {
				this.context.directory().drop(of.serverId());
				onNotRun(of, response, "address answers for another server");
			}
			case UNTRUSTED -> onBrokenResponse(of, "untrusted answer, status=" + response.status().intValue());
			case SERVER_ERROR -> onServerError(of, response);
			default -> {
				if (this.admittedRequest.route().isStreaming()) {
					stream(of, response);
				}
				else {
					readFully(of, response);
				}
			}
		}
	}

	private void onNotRun(Attempt of, HttpResponse response, String detail) {
		of.markNotRun();
		response.discardEntityBytes(this.context.system());
		retry(of, ResultCode.BACKENDS_REFUSED, detail);
	}

	private void onServerError(Attempt of, HttpResponse response) {
		this.context.health().onFailure(of.serverId());
		if (this.history.mayRunAgain(this.admittedRequest.route()) && remainingMillis() > MIN_REMAINING_MILLIS) {
			this.history.countPossibleRun();
			response.discardEntityBytes(this.context.system());
			retry(of, ResultCode.BACKEND_ERROR, "status=" + response.status().intValue());
			return;
		}
		readFully(of, response);
	}

	private void readFully(Attempt of, HttpResponse response) {
		ResponseBodies.readFully(response, remainingMillis(), this.context.system())
			.whenComplete((body, failure) -> onFullBody(of, response, body, failure));
	}

	private synchronized void onFullBody(Attempt of, HttpResponse response, HttpEntity.Strict body, Throwable failure) {
		if (this.currentAttempt != of) {
			return;
		}
		if (failure != null) {
			onBrokenResponse(of, "answer broke off: " + failure.getMessage());
			return;
		}
		if (response.status().isSuccess()) {
			this.context.health().onSuccess(of.serverId());
		}
		this.context.pool().release(of.takeConnection(), KeepAlive.keepMillis(response));
		endAttempt(false);
		ResultCode code = response.status().isSuccess() ? ResultCode.OK : ResultCode.BACKEND_ERROR;
		complete(code, this.context.callerDialect().toCallerResponse(response).withEntity(body),
				"server=" + of.serverId());
	}

	private void stream(Attempt of, HttpResponse response) {
		this.context.health().onSuccess(of.serverId());
		BodyObserver observer = new StreamObserver(() -> onFirstEvent(of),
				(code, detail) -> onStreamEnd(of, response, code, detail));
		this.responded = true;
		this.response.complete(this.context.callerDialect()
			.toCallerResponse(response)
			.withEntity(ResponseBodies.stream(response, observer)));
	}

	private synchronized void onFirstEvent(Attempt of) {
		of.onFirstToken();
		this.history.onFirstBytes(ageMillis());
	}

	private synchronized void onStreamEnd(Attempt of, HttpResponse response, ResultCode code, String detail) {
		if (this.currentAttempt != of) {
			return;
		}
		if (code == ResultCode.OK) {
			this.context.pool().release(of.takeConnection(), KeepAlive.keepMillis(response));
		}
		else if (code == ResultCode.BACKEND_BROKE_OFF) {
			this.context.health().onFailure(of.serverId());
		}
		endAttempt(code != ResultCode.OK);
		recordOutcome(code, response.status().intValue(), "server=" + of.serverId() + detail);
	}

	private void onBrokenResponse(Attempt of, String detail) {
		this.context.health().onFailure(of.serverId());
		if (this.history.mayRunAgain(this.admittedRequest.route())) {
			this.history.countPossibleRun();
			retry(of, ResultCode.BACKEND_BROKE_OFF, detail);
			return;
		}
		endAttempt(true);
		reject(ResultCode.BACKEND_BROKE_OFF, "server=" + of.serverId() + " " + detail);
	}

	private void retry(Attempt of, ResultCode reason, String detail) {
		ResultCode kind = of.mayHaveRun() ? ResultCode.RETRY_REPEATABLE : ResultCode.RETRY_NOT_RUN;
		this.context.requestLog().recordRetry(kind, this.caller.id(), of.serverId(), detail);
		endAttempt(true);
		this.history.exclude(of.serverId());
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
			recordOutcome(ResultCode.DEADLINE_IN_FLIGHT, 0, "stream ended at its timeout");
			return;
		}
		reject(mayHaveRun ? ResultCode.DEADLINE_IN_FLIGHT : ResultCode.TIMEOUT_BEFORE_SEND, "service=" + this.service);
	}

	private void endAttempt(boolean broken) {
		Attempt ended = this.currentAttempt;
		this.currentAttempt = null;
		if (ended == null) {
			return;
		}
		ended.end();
		this.context.health().addLoad(ended.serverId(), -ATTEMPT_LOAD);
		HttpConnection held = ended.takeConnection();
		if (broken && held != null) {
			held.close();
		}
	}

	private void reject(ResultCode code, String detail) {
		ResultCode said = this.history.adjustForPossibleRun(code);
		complete(said, this.context.callerDialect().withRequestId(ErrorResponses.of(said), this.caller.id()), detail);
	}

	private void complete(ResultCode code, HttpResponse response, String detail) {
		this.responded = true;
		recordOutcome(code, response.status().intValue(), detail);
		this.response.complete(response);
	}

	private void recordOutcome(ResultCode code, int status, String detail) {
		this.timer.cancel();
		this.gatedStart.finish();
		this.onEnd.run();
		String decidedBy = (this.admittedRequest != null) ? this.admittedRequest.describe()
				: AdmittedRequest.NOT_ADMITTED;
		String route = (this.admittedRequest != null) ? this.admittedRequest.route().name() : "";
		this.context.requestLog()
			.recordCompletion(code, this.caller.id(), route, status, ageMillis(), detail + " " + decidedBy
					+ " confirmed_ms=" + this.context.routing().ageMillis() + " " + this.history.describe());
	}

	private long ageMillis() {
		return this.context.clock().ageMillis(this.arrived);
	}

	private long remainingMillis() {
		return this.caller.effectiveTimeoutMillis(this.admittedRequest.route().timeoutMillis()) - ageMillis();
	}

}
