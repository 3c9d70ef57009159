package org.marjoramgw.direct.forward;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.caller.CallerConnection;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.caller.HeadPreview;
import org.marjoramgw.direct.caller.UnreadRequest;
import org.marjoramgw.http.MemoryLimit;
import org.marjoramgw.policy.drain.DrainSchedule;
import org.marjoramgw.policy.partition.PromptPartition;
import org.marjoramgw.policy.placement.ServerView;
import org.marjoramgw.policy.waiting.RequestTime;
import org.marjoramgw.time.ClockReading;

/**
 * Handles the HTTP requests of all callers by forwarding them to backend servers.
 *
 * @author The marjoramgw authors
 */
public final class Forwarder {

	/** Timeout for receiving a request body, in milliseconds. */
	private static final long BODY_TIMEOUT_MILLIS = 10_000;

	private static final HttpHeader CLOSE = Connection.create("close");

	private final ForwardingContext context;

	private final AtomicInteger openRequests = new AtomicInteger();

	private final Set<ForwardedRequest> forwardedRequests = ConcurrentHashMap.newKeySet();

	private volatile DrainSchedule drainSchedule = DrainSchedule.NEVER;

	/**
	 * Creates a forwarder.
	 * @param context shared components
	 */
	public Forwarder(ForwardingContext context) {
		this.context = context;
	}

	/**
	 * Handles one request.
	 * @param request the request
	 * @param connection connection of its caller
	 * @return the response, whose body may still be streaming; fails if the connection is
	 * being closed
	 */
	public CompletionStage<HttpResponse> handle(HttpRequest request, CallerConnection connection) {
		if (connection.isMisread()) {
			// The connection is closed behind the response that is being written.
			return new CompletableFuture<>();
		}
		if (!connection.beginRequest()) {
			return CompletableFuture.failedFuture(new IOException("connection is being closed"));
		}
		ClockReading arrived = connection.requestArrived();
		CallerRequest caller = this.context.callerDialect().decode(request);
		RequestTime time = this.context.requestTime(caller);
		this.openRequests.incrementAndGet();
		if (!this.context.callerDialect().isIntact(request)) {
			connection.markMisread();
			request.discardEntityBytes(this.context.system());
			return refuse(ResultCode.MALFORMED_HEAD, caller, arrived, "", connection)
				.thenApply((response) -> response.addHeader(CLOSE));
		}
		long maxBodyBytes = this.context.routing().limits().maxBodyBytes();
		MemoryLimit bodyMemory = connection.beginRequestBody(request.entity().isChunked(),
				() -> memoryOwner(caller, connection));
		return this.context.bodyReader()
			.read(request.entity().withSizeLimit(maxBodyBytes), bodyTimeoutMillis(time, arrived), bodyMemory)
			.handle((body, failure) -> {
				connection.endRequestBody();
				return (failure != null) ? rejectBody(caller, time, arrived, failure, connection)
						: forward(request, caller, body, arrived, connection);
			})
			.thenCompose((response) -> response)
			.thenApply(this::withConnectionClose);
	}

	/**
	 * Creates the view on a request whose connection waits to be opened.
	 * @param preview preview of the request
	 * @param arrived when its first bytes were read
	 * @return the request
	 */
	public UnreadRequest unread(HeadPreview preview, ClockReading arrived) {
		return new PreviewedRequest(this.context, preview, arrived);
	}

	/**
	 * Makes every further response ask its caller to close the connection, and refuses
	 * requests that could outlast the process.
	 * @param schedule times of the stop
	 */
	public void startDraining(DrainSchedule schedule) {
		this.drainSchedule = schedule;
	}

	/**
	 * Creates an explainer of what would be decided about a request.
	 * @param processId id of this process
	 * @param selectors creates a selector that chooses as real requests do, with the
	 * given partition, and changes no state that they see
	 * @param estimates further estimates of servers, by name
	 * @return the explainer
	 */
	public RequestExplainer explainer(String processId, Function<PromptPartition, ServerSelector> selectors,
			Function<ServerView, Map<String, Double>> estimates) {
		return new RequestExplainer(processId, this.context, this::mayBegin, selectors, estimates, new Random());
	}

	/**
	 * Answers all requests whose response has not begun.
	 */
	public void giveUpUnanswered() {
		this.forwardedRequests.forEach(ForwardedRequest::giveUp);
	}

	/**
	 * Returns the number of requests whose response is not complete yet. A complete
	 * response may still have to be written to its caller.
	 * @return the number of requests
	 */
	public int openCount() {
		return this.openRequests.get();
	}

	private CompletionStage<HttpResponse> forward(HttpRequest request, CallerRequest caller, HttpEntity.Strict body,
			ClockReading arrived, CallerConnection connection) {
		Owner owner = new Owner(connection);
		ForwardedRequest forwarded = new ForwardedRequest(this.context, request.withEntity(body), caller, arrived,
				owner);
		owner.register(forwarded);
		connection.whenClosed(forwarded::cancel);
		return forwarded.start();
	}

	private boolean mayBegin(long timeoutMillis) {
		return this.drainSchedule.mayBegin(this.context.clock().now().monotonicMillis(), timeoutMillis);
	}

	private long bodyTimeoutMillis(RequestTime time, ClockReading arrived) {
		return Math.min(BODY_TIMEOUT_MILLIS, time.maxWaitMillis(this.context.clock().ageMillis(arrived)));
	}

	private CompletionStage<HttpResponse> rejectBody(CallerRequest caller, RequestTime time, ClockReading arrived,
			Throwable failure, CallerConnection connection) {
		ResultCode code = connection.isBodyRefused() ? ResultCode.MEMORY_EXHAUSTED
				: bodyFailure(time, arrived, failure);
		return refuse(code, caller, arrived, String.valueOf(failure.getMessage()), connection);
	}

	private CompletionStage<HttpResponse> refuse(ResultCode code, CallerRequest caller, ClockReading arrived,
			String detail, CallerConnection connection) {
		HttpResponse response = ErrorResponses.of(code);
		endRequest(connection);
		this.context.requestLog()
			.recordCompletion(code, caller.id(), "", code.httpStatus(), this.context.clock().ageMillis(arrived),
					detail);
		return CompletableFuture.completedFuture(this.context.callerDialect().withRequestId(response, caller.id()));
	}

	private void endRequest(CallerConnection connection) {
		this.openRequests.decrementAndGet();
		connection.markOpened();
		connection.endRequest();
	}

	// Callers without a known account share by address.
	private String memoryOwner(CallerRequest caller, CallerConnection connection) {
		return this.context.routing()
			.current()
			.flatMap((routing) -> caller.key().flatMap(routing::account))
			.map((account) -> "account " + account.name())
			.orElseGet(() -> "address " + connection.callerAddress());
	}

	private ResultCode bodyFailure(RequestTime time, ClockReading arrived, Throwable failure) {
		if (isTooLarge(failure)) {
			return ResultCode.BODY_TOO_LARGE;
		}
		return time.maySend(this.context.clock().ageMillis(arrived)) ? ResultCode.BODY_INCOMPLETE
				: ResultCode.TIMEOUT_BEFORE_SEND;
	}

	private static boolean isTooLarge(Throwable failure) {
		return failure instanceof EntityStreamSizeException || failure.getCause() instanceof EntityStreamSizeException;
	}

	private HttpResponse withConnectionClose(HttpResponse response) {
		return (this.drainSchedule != DrainSchedule.NEVER) ? response.addHeader(CLOSE) : response;
	}

	/** Owner of one forwarded request. */
	private final class Owner implements RequestOwner {

		private final CallerConnection connection;

		private ForwardedRequest request;

		private Owner(CallerConnection connection) {
			this.connection = connection;
		}

		private void register(ForwardedRequest forwarded) {
			this.request = forwarded;
			Forwarder.this.forwardedRequests.add(forwarded);
		}

		@Override
		public boolean mayBegin(long timeoutMillis) {
			return Forwarder.this.mayBegin(timeoutMillis);
		}

		@Override
		public boolean isCallerDisconnected() {
			return this.connection.isClosedByCaller();
		}

		@Override
		public boolean isStarting() {
			return this.connection.isOpening();
		}

		@Override
		public void onStarted() {
			this.connection.markOpened();
		}

		@Override
		public void onEnd() {
			Forwarder.this.forwardedRequests.remove(this.request);
			endRequest(this.connection);
		}

	}

}
