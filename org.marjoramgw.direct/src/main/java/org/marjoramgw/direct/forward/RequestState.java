package org.marjoramgw.direct.forward;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.direct.model.Routing;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.policy.stream.StreamOrigin;
import org.marjoramgw.policy.usage.UsageObserver;
import org.marjoramgw.policy.waiting.RequestTime;
import org.marjoramgw.policy.waiting.Urgency;
import org.marjoramgw.time.ClockReading;

/**
 * What is known of one request while it is forwarded. Not thread-safe; guarded by the
 * lock of its request.
 *
 * @author The marjoramgw authors
 */
final class RequestState {

	private final ForwardingContext context;

	private final HttpRequest request;

	private final CallerRequest caller;

	private final ClockReading arrived;

	private final long waitedMillis;

	private final AttemptHistory history = new AttemptHistory();

	private final ResumableBody resumableBody = new ResumableBody();

	private final GuardedPrompt prompt;

	private AdmittedRequest admitted;

	private String service = "";

	/** Where the stream that goes on began, empty before its first event. */
	private Optional<StreamOrigin> origin = Optional.empty();

	private boolean eventsBegun;

	private boolean streamCounted;

	/**
	 * Creates the state of a request that was just received.
	 * @param context shared components
	 * @param request the request with its complete body
	 * @param caller decoded request head
	 * @param arrived when its first bytes were read
	 */
	RequestState(ForwardingContext context, HttpRequest request, CallerRequest caller, ClockReading arrived) {
		this.context = context;
		this.request = request;
		this.caller = caller;
		this.arrived = arrived;
		this.waitedMillis = ageMillis();
		this.prompt = new GuardedPrompt(context.promptGuard(), caller);
	}

	HttpRequest request() {
		return this.request;
	}

	CallerRequest caller() {
		return this.caller;
	}

	AttemptHistory history() {
		return this.history;
	}

	/**
	 * Returns the body of the response, if it is a stream that may be resumed.
	 * @return the body, which may not be started
	 */
	ResumableBody resumableBody() {
		return this.resumableBody;
	}

	GuardedPrompt prompt() {
		return this.prompt;
	}

	/**
	 * Checks the request against the active configuration.
	 * @throws RequestRejectedException if it is not admitted
	 */
	void admit() throws RequestRejectedException {
		this.admitted = this.context.admission().admit(this.caller);
	}

	/**
	 * Returns the last admission of the request.
	 * @return the admission, or {@code null} if it was never admitted
	 */
	AdmittedRequest admitted() {
		return this.admitted;
	}

	Route route() {
		return this.admitted.route();
	}

	/**
	 * Returns the service that the request is sent to.
	 * @return name of the service, or an empty string before one was selected
	 */
	String service() {
		return this.service;
	}

	/**
	 * Selects the service that the request is sent to.
	 * @throws RequestRejectedException if its stream began at a service that the route no
	 * longer uses
	 */
	void selectService() throws RequestRejectedException {
		if (this.origin.isEmpty()) {
			this.service = route().selectService(this.context.random().nextDouble());
			return;
		}
		String required = this.origin.get().service();
		if (!route().hasService(required)) {
			throw new RequestRejectedException(ResultCode.STREAM_ORIGIN_UNKNOWN, "began at service " + required);
		}
		this.service = required;
	}

	/**
	 * Finds out where the stream that the caller takes up began.
	 * @return the origin, or empty if nobody can say or it isn't taken up
	 */
	CompletionStage<Optional<StreamOrigin>> locateOrigin() {
		return this.caller.resumption()
			.map((resumption) -> this.context.streams().locate(resumption, this.service))
			.orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
	}

	/**
	 * Tells whether the caller takes up a stream.
	 * @return whether it has a part of the answer
	 */
	boolean isTakenUp() {
		return isResumableStream() && this.caller.resumption().isPresent();
	}

	/**
	 * Sets where the stream that the caller takes up began.
	 * @param located the origin
	 * @throws RequestRejectedException if the stream can't go on there
	 */
	void setOrigin(StreamOrigin located) throws RequestRejectedException {
		this.origin = Optional.of(located);
		selectService();
	}

	/**
	 * Tells whether the stream of this request may begin or go on at a server of its
	 * service.
	 * @param server the server
	 * @return whether it may, always true if it isn't a stream that goes on
	 */
	boolean isSuitable(BackendServer server) {
		if (!isResumableStream()) {
			return true;
		}
		return this.origin.map((known) -> known.mayGoOnAt(server.version()))
			.orElseGet(() -> this.context.streams().mayBegin(server));
	}

	/**
	 * Records that a server brings events.
	 * @param server the server
	 */
	void onEvents(BackendServer server) {
		this.history.onEvents(server.version());
		if (this.eventsBegun || !isResumableStream()) {
			return;
		}
		this.eventsBegun = true;
		StreamOrigin known = this.origin.orElseGet(() -> this.context.streams().originAt(server));
		this.origin = Optional.of(known);
		this.context.streams().onBegun(this.caller.id(), known, server);
	}

	/**
	 * Tells whether the answer is a stream that may go on at another server.
	 * @return whether the route says so
	 */
	boolean isResumableStream() {
		return route().isStreaming() && route().resumable();
	}

	boolean isResuming() {
		return this.resumableBody.isInterrupted();
	}

	/**
	 * Tells whether the request may run on another server after the current attempt.
	 * @return whether its route allows another run
	 */
	boolean mayRunAgain() {
		return this.history.mayRunAgain(route());
	}

	long ageMillis() {
		return this.context.clock().ageMillis(this.arrived);
	}

	long remainingMillis() {
		return time().remainingMillis(ageMillis());
	}

	/**
	 * Tells whether enough time is left to send the request to a server.
	 * @return whether it may be sent
	 */
	boolean maySend() {
		return time().maySend(ageMillis());
	}

	/**
	 * Returns how long the request may wait before it is sent.
	 * @return time after which it is refused, in milliseconds
	 */
	long maxWaitMillis() {
		return time().maxWaitMillis(ageMillis());
	}

	/**
	 * Returns the urgency of the request.
	 * @return its place among all requests that wait
	 */
	Urgency urgency() {
		return Urgency.read(this.admitted.rank(), this.arrived.monotonicMillis());
	}

	private RequestTime time() {
		return isResuming() ? route().answerTime(this.caller.deadlineMillis())
				: route().requestTime(this.caller.deadlineMillis());
	}

	/**
	 * Records that the request is sent.
	 * @param nowMillis present time by the monotonic clock, in milliseconds
	 */
	void onSent(long nowMillis) {
		int lessUrgentCount = this.context.recentSends()
			.onSend(this.admitted.rank(), this.arrived.monotonicMillis(), nowMillis);
		this.history.onSent(ageMillis(), lessUrgentCount);
		if (lessUrgentCount > 0) {
			this.context.requestLog().countOvertakenRequest();
		}
	}

	/**
	 * Counts that the request has begun to run on a server.
	 * @return the run, which is not counted if the request has no account
	 */
	UsageObserver.Run countRun() {
		return this.admitted.account()
			.map((account) -> this.context.usage().onRun(account.name()))
			.orElse(UsageObserver.Run.NONE);
	}

	/**
	 * Counts that the request has begun to run when the first event of its stream
	 * arrives. A stream that is resumed on another server is counted once.
	 */
	void countFirstEvent() {
		if (!this.streamCounted) {
			this.streamCounted = true;
			countRun();
		}
	}

	/**
	 * Returns the log fields of what the caller takes up.
	 * @return the id that it names and the origin, or an empty string
	 */
	private String describeResumption() {
		return this.caller.resumption()
			.map((resumption) -> " resumes=" + resumption.firstAttemptId().orElse("unnamed") + " began_at="
					+ this.origin.flatMap(StreamOrigin::version).orElse("unknown"))
			.orElse("");
	}

	/**
	 * Counts and logs the outcome of the request.
	 * @param code result code
	 * @param status status sent to the caller, or 0 if there is none to report
	 * @param detail further fields for the log line
	 */
	void recordOutcome(ResultCode code, int status, String detail) {
		long tookMillis = ageMillis();
		String decision = AdmittedRequest
			.describeNotAdmitted(this.context.routing().current().map(Routing::version).orElse(0L));
		String routeName = "";
		if (this.admitted != null) {
			decision = this.admitted.describe();
			routeName = route().name();
			this.context.requestLog().recordAttainment(routeName, this.history.attainment(code, route(), tookMillis));
		}
		this.context.requestLog()
			.recordCompletion(code, this.caller.id(), routeName, status, tookMillis,
					detail + " " + decision + " confirmed_ms=" + this.context.routing().ageMillis() + " waited_ms="
							+ this.waitedMillis + " " + this.history.describe() + describeResumption());
	}

}
