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
	private static final double ATTEMPT_WORK = 1;

	/** Less time than this is not worth another attempt, in milliseconds. */
	private static final long LEAST_REMAINING_MILLIS = 30;

	private final ForwardParts parts;

	private final HttpRequest request;

	private final CallerRequest caller;

	private final ClockReading arrived;

	private final RequestStart start;

	private final BooleanSupplier callerHasLeft;

	private final Runnable onEnd;

	private final CompletableFuture<HttpResponse> answer = new CompletableFuture<>();

	private final RequestHistory history = new RequestHistory();

	private Admitted admitted;

	private String service = "";

	private Timers.Handle timer = Timers.Handle.NONE;

	private Attempt attempt;

	private boolean done;

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
	ForwardedRequest(ForwardParts parts, HttpRequest request, CallerRequest caller, ClockReading arrived,
			Runnable onStarted, BooleanSupplier callerHasLeft, Runnable onEnd) {
		this.parts = parts;
		this.request = request;
		this.caller = caller;
		this.arrived = arrived;
		this.start = new RequestStart(parts.gate(), parts.timers(), onStarted);
		this.callerHasLeft = callerHasLeft;
		this.onEnd = onEnd;
	}

	/**
	 * Starts the request.
	 * @return its final answer
	 */
	synchronized CompletionStage<HttpResponse> start() {
		try {
			this.admitted = this.parts.admission().admit(this.caller);
			this.service = this.admitted.route().serviceFor(this.parts.random().nextDouble());
			this.parts.budget().onRequest(this.service);
			this.timer = this.parts.timers().schedule(Math.max(0, remainingMillis()), this::onTimeout);
			this.start.run(this.admitted.rank(), () -> tryNext(ResultCode.NO_BACKEND));
		}
		catch (RequestRejectedException ex) {
			refuse(ex.code(), ex.getMessage());
		}
		return this.answer;
	}

	/**
	 * Ends the request because its caller is gone.
	 */
	synchronized void cancel() {
		if (this.done && this.attempt == null) {
			return;
		}
		boolean streaming = this.done;
		endAttempt(true);
		if (streaming) {
			record(ResultCode.CALLER_GONE, 0, "while the answer was streamed");
		}
		else {
			finish(ResultCode.CALLER_GONE, Refusals.of(ResultCode.CALLER_GONE), "before an answer");
		}
	}

	private synchronized void tryNext(ResultCode reason) {
		if (this.done) {
			return;
		}
		if (remainingMillis() < LEAST_REMAINING_MILLIS) {
			refuse(ResultCode.TIMEOUT_BEFORE_SEND, "");
			return;
		}
		Optional<BackendServer> server = this.history.mayTry()
				? this.parts.servers().choose(this.service, this.caller, this.history.excluded()) : Optional.empty();
		if (server.isEmpty()) {
			refuse(reason, "service=" + this.service);
			return;
		}
		if (this.history.wasSent() && !this.parts.budget().tryRetry(this.service)) {
			refuse(ResultCode.RETRY_BUDGET_SPENT, "");
			return;
		}
		this.history.onTry();
		Attempt next = new Attempt(server.get());
		this.attempt = next;
		this.parts.health().addWork(next.serverId(), ATTEMPT_WORK);
		Route route = this.admitted.route();
		if (route.isStreaming() && route.targetLatencyMillis() > 0 && this.caller.hasPrompt()) {
			waitForTurn(next);
		}
		else {
			connect(next);
		}
	}

	private void waitForTurn(Attempt next) {
		Route route = this.admitted.route();
		next.take(this.parts.reading()
			.acquire(next.serverId(), route.name(), route.targetLatencyMillis(), () -> connect(next)));
		if (!next.isStarted()) {
			this.start.over();
			this.parts.timers().schedule(PrefillLimiter.maxWaitMillis(route.targetLatencyMillis()), () -> passBy(next));
		}
	}

	private synchronized void passBy(Attempt next) {
		if (this.attempt == next && !next.isStarted()) {
			next.passBy();
			connect(next);
		}
	}

	private synchronized void connect(Attempt next) {
		if (this.attempt != next || next.isStarted()) {
			return;
		}
		next.markStarted();
		this.parts.pool()
			.acquire(next.server().address(), !this.admitted.route().isRepeatable())
			.whenComplete((connection, failure) -> onConnection(next, connection, failure));
	}

	private synchronized void onConnection(Attempt of, HttpConnection connection, Throwable failure) {
		if (this.attempt != of) {
			if (connection != null) {
				connection.close();
			}
			return;
		}
		if (failure != null) {
			this.parts.health().onUnreachable(of.serverId());
			retry(of, ResultCode.NO_BACKEND, "connect failed: " + failure.getMessage());
			return;
		}
		of.hold(connection);
		try {
			this.admitted = this.parts.admission().admit(this.caller);
			send(of);
		}
		catch (RequestRejectedException ex) {
			endAttempt(true);
			refuse(ex.code(), ex.getMessage());
		}
	}

	private void send(Attempt of) {
		if (!this.admitted.route().leadsTo(this.service)) {
			this.service = this.admitted.route().serviceFor(this.parts.random().nextDouble());
			retry(of, ResultCode.NO_BACKEND, "route leads to another service now");
			return;
		}
		long remainingMillis = remainingMillis();
		if (remainingMillis < LEAST_REMAINING_MILLIS || !this.parts.directory().isUsable(of.serverId())) {
			retry(of, ResultCode.NO_BACKEND, "server left before the send");
			return;
		}
		if (this.callerHasLeft.getAsBoolean()) {
			cancel();
			return;
		}
		HttpRequest sent = this.parts.backendDialect()
			.toBackend(this.request, of.orders(this.admitted, remainingMillis));
		this.history.onSent(ageMillis());
		of.markSent();
		of.connection().send(sent).whenComplete((response, failure) -> onHead(of, response, failure));
		this.start.over();
	}

	private synchronized void onHead(Attempt of, HttpResponse response, Throwable failure) {
		if (this.attempt != of) {
			return;
		}
		if (failure != null) {
			onBroken(of, "no answer: " + failure.getMessage());
			return;
		}
		switch (this.parts.backendDialect().kindOf(response, this.caller.id())) {
			case NOT_RUN -> {
				this.parts.health().onFailure(of.serverId());
				onNotRun(of, response, "status=" + response.status().intValue());
			}
			case WRONG_SERVER -> {
				this.parts.directory().drop(of.serverId());
				onNotRun(of, response, "address answers for another server");
			}
			case UNTRUSTED -> onBroken(of, "untrusted answer, status=" + response.status().intValue());
			case OWN_FAILURE -> onOwnFailure(of, response);
			default -> {
				if (this.admitted.route().isStreaming()) {
					stream(of, response);
				}
				else {
					readWhole(of, response);
				}
			}
		}
	}

	private void onNotRun(Attempt of, HttpResponse response, String detail) {
		of.markNotRun();
		response.discardEntityBytes(this.parts.system());
		retry(of, ResultCode.BACKENDS_REFUSED, detail);
	}

	private void onOwnFailure(Attempt of, HttpResponse response) {
		this.parts.health().onFailure(of.serverId());
		if (this.history.mayRunAgain(this.admitted.route()) && remainingMillis() > LEAST_REMAINING_MILLIS) {
			this.history.onRun();
			response.discardEntityBytes(this.parts.system());
			retry(of, ResultCode.BACKEND_ERROR, "status=" + response.status().intValue());
			return;
		}
		readWhole(of, response);
	}

	private void readWhole(Attempt of, HttpResponse response) {
		AnswerBodies.whole(response, remainingMillis(), this.parts.system())
			.whenComplete((body, failure) -> onWhole(of, response, body, failure));
	}

	private synchronized void onWhole(Attempt of, HttpResponse response, HttpEntity.Strict body, Throwable failure) {
		if (this.attempt != of) {
			return;
		}
		if (failure != null) {
			onBroken(of, "answer broke off: " + failure.getMessage());
			return;
		}
		if (response.status().isSuccess()) {
			this.parts.health().onSuccess(of.serverId());
		}
		this.parts.pool().release(of.giveUp(), KeepAlive.keepMillis(response));
		endAttempt(false);
		ResultCode code = response.status().isSuccess() ? ResultCode.OK : ResultCode.BACKEND_ERROR;
		finish(code, this.parts.callerDialect().toCaller(response).withEntity(body), "server=" + of.serverId());
	}

	private void stream(Attempt of, HttpResponse response) {
		this.parts.health().onSuccess(of.serverId());
		BodyObserver observer = new StreamObserver(() -> onFirstEvent(of),
				(code, detail) -> onStreamEnd(of, response, code, detail));
		this.done = true;
		this.answer.complete(
				this.parts.callerDialect().toCaller(response).withEntity(AnswerBodies.streamed(response, observer)));
	}

	private synchronized void onFirstEvent(Attempt of) {
		of.onFirstToken();
		this.history.onFirstBytes(ageMillis());
	}

	private synchronized void onStreamEnd(Attempt of, HttpResponse response, ResultCode code, String detail) {
		if (this.attempt != of) {
			return;
		}
		if (code == ResultCode.OK) {
			this.parts.pool().release(of.giveUp(), KeepAlive.keepMillis(response));
		}
		else if (code == ResultCode.BACKEND_BROKE_OFF) {
			this.parts.health().onFailure(of.serverId());
		}
		endAttempt(code != ResultCode.OK);
		record(code, response.status().intValue(), "server=" + of.serverId() + detail);
	}

	private void onBroken(Attempt of, String detail) {
		this.parts.health().onFailure(of.serverId());
		if (this.history.mayRunAgain(this.admitted.route())) {
			this.history.onRun();
			retry(of, ResultCode.BACKEND_BROKE_OFF, detail);
			return;
		}
		endAttempt(true);
		refuse(ResultCode.BACKEND_BROKE_OFF, "server=" + of.serverId() + " " + detail);
	}

	private void retry(Attempt of, ResultCode reason, String detail) {
		ResultCode kind = of.mayHaveRun() ? ResultCode.RETRY_REPEATABLE : ResultCode.RETRY_NOT_RUN;
		this.parts.outcomes().retried(kind, this.caller.id(), of.serverId(), detail);
		endAttempt(true);
		this.history.exclude(of.serverId());
		tryNext(reason);
	}

	private synchronized void onTimeout() {
		if (this.attempt == null && this.done) {
			return;
		}
		boolean mayHaveRun = this.history.mayHaveRun() || this.attempt != null && this.attempt.mayHaveRun();
		endAttempt(true);
		if (this.done) {
			record(ResultCode.DEADLINE_IN_FLIGHT, 0, "stream ended at its timeout");
			return;
		}
		refuse(mayHaveRun ? ResultCode.DEADLINE_IN_FLIGHT : ResultCode.TIMEOUT_BEFORE_SEND, "service=" + this.service);
	}

	private void endAttempt(boolean broken) {
		Attempt ended = this.attempt;
		this.attempt = null;
		if (ended == null) {
			return;
		}
		ended.end();
		this.parts.health().addWork(ended.serverId(), -ATTEMPT_WORK);
		HttpConnection held = ended.giveUp();
		if (broken && held != null) {
			held.close();
		}
	}

	private void refuse(ResultCode code, String detail) {
		ResultCode said = this.history.truthful(code);
		finish(said, this.parts.callerDialect().withRequestId(Refusals.of(said), this.caller.id()), detail);
	}

	private void finish(ResultCode code, HttpResponse response, String detail) {
		this.done = true;
		record(code, response.status().intValue(), detail);
		this.answer.complete(response);
	}

	private void record(ResultCode code, int status, String detail) {
		this.timer.cancel();
		this.start.over();
		this.onEnd.run();
		String decidedBy = (this.admitted != null) ? this.admitted.describe() : Admitted.NOT_ADMITTED;
		String route = (this.admitted != null) ? this.admitted.route().name() : "";
		this.parts.outcomes()
			.ended(code, this.caller.id(), route, status, ageMillis(), detail + " " + decidedBy + " confirmed_ms="
					+ this.parts.routing().ageMillis() + " " + this.history.describe());
	}

	private long ageMillis() {
		return this.parts.clock().ageMillis(this.arrived);
	}

	private long remainingMillis() {
		return this.caller.waitMillis(this.admitted.route().timeoutMillis()) - ageMillis();
	}

}
