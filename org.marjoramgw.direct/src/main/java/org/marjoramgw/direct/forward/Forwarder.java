package org.marjoramgw.direct.forward;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.marjoramgw.CompletionStages;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.caller.CallerConnection;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.time.ClockReading;

/**
 * Answers the requests of all callers.
 *
 * @author The marjoramgw authors
 */
public final class Forwarder {

	/** Longest time that a body may take to arrive, in milliseconds. */
	private static final long BODY_TIMEOUT_MILLIS = 10_000;

	private final ForwardParts parts;

	private final AtomicInteger open = new AtomicInteger();

	private volatile boolean leaving;

	/**
	 * Creates a forwarder.
	 * @param parts what all requests use
	 */
	public Forwarder(ForwardParts parts) {
		this.parts = parts;
	}

	/**
	 * Answers one request.
	 * @param request the request
	 * @param connection connection of its caller
	 * @return the answer; its body may go on for a while
	 */
	public CompletionStage<HttpResponse> handle(HttpRequest request, CallerConnection connection) {
		if (!connection.begin()) {
			return CompletableFuture.failedFuture(new IOException("connection is being closed"));
		}
		ClockReading arrived = this.parts.clock().now();
		CallerRequest caller = this.parts.callerDialect().decode(request);
		this.open.incrementAndGet();
		long maxBodyBytes = this.parts.routing().limits().maxBodyBytes();
		return CompletionStages
			.withDirectExecutor(
					request.entity().withSizeLimit(maxBodyBytes).toStrict(BODY_TIMEOUT_MILLIS, this.parts.system()))
			.handle((body, failure) -> (failure != null) ? refuseBody(caller, arrived, failure, connection)
					: forward(request, caller, body, arrived, connection))
			.thenCompose((answer) -> answer)
			.thenApply(this::withClose);
	}

	/**
	 * Asks callers to close their connections after the next answer.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Returns how many requests have no whole answer yet.
	 * @return the number of requests
	 */
	public int openCount() {
		return this.open.get();
	}

	private CompletionStage<HttpResponse> forward(HttpRequest request, CallerRequest caller, HttpEntity.Strict body,
			ClockReading arrived, CallerConnection connection) {
		ForwardedRequest forwarded = new ForwardedRequest(this.parts, request.withEntity(body), caller, arrived,
				connection::started, connection::hasLeft, () -> end(connection));
		connection.whenClosed(forwarded::cancel);
		return forwarded.start();
	}

	private CompletionStage<HttpResponse> refuseBody(CallerRequest caller, ClockReading arrived, Throwable failure,
			CallerConnection connection) {
		ResultCode code = isTooLarge(failure) ? ResultCode.BODY_TOO_LARGE : ResultCode.BODY_INCOMPLETE;
		HttpResponse response = Refusals.of(code);
		end(connection);
		this.parts.outcomes()
			.ended(code, caller.id(), "", code.httpStatus(), this.parts.clock().ageMillis(arrived),
					String.valueOf(failure.getMessage()));
		return CompletableFuture.completedFuture(this.parts.callerDialect().withRequestId(response, caller.id()));
	}

	private void end(CallerConnection connection) {
		this.open.decrementAndGet();
		connection.started();
		connection.end();
	}

	private static boolean isTooLarge(Throwable failure) {
		return failure instanceof EntityStreamSizeException || failure.getCause() instanceof EntityStreamSizeException;
	}

	private HttpResponse withClose(HttpResponse response) {
		return this.leaving ? response.addHeader(Connection.create("close")) : response;
	}

}
