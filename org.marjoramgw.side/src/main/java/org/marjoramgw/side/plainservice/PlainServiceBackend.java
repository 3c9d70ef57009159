package org.marjoramgw.side.plainservice;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Pattern;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpMethod;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.model.headers.RawRequestURI;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.SharedKillSwitch;
import org.marjoramgw.ResultCode;
import org.marjoramgw.http.BodyReader;
import org.marjoramgw.http.ContentTypeHeader;
import org.marjoramgw.http.HeaderText;
import org.marjoramgw.http.MemoryLimit;
import org.marjoramgw.side.backend.Backend;
import org.marjoramgw.side.backend.BackendExecution;
import org.marjoramgw.side.backend.BackendHttpClient;
import org.marjoramgw.side.backend.BackendListener;
import org.marjoramgw.side.backend.BackendRequest;
import org.marjoramgw.side.backend.BackendResult;
import org.marjoramgw.wire.BackendCall;

/**
 * Client of a plain HTTP service. Responses of any status are passed on.
 *
 * @author The marjoramgw authors
 */
public final class PlainServiceBackend implements Backend {

	private static final int HTTP_SERVER_ERROR = 500;

	private static final String DEFAULT_CONTENT_TYPE = "application/json";

	/** Request targets that can be written as they are. */
	private static final Pattern TARGET = Pattern.compile("/[\\x21-\\x7e]*");

	private final ActorSystem<?> system;

	private final BodyReader bodyReader;

	private final BackendHttpClient client;

	private final long bodyTimeoutMillis;

	private final int maxBodyBytes;

	/**
	 * Creates a client.
	 * @param system the actor system that runs the HTTP calls
	 * @param url base URL of the service
	 * @param bodyTimeoutMillis time limit for receiving a response body, in milliseconds
	 * @param maxBodyBytes maximum size of a response body, in bytes
	 */
	public PlainServiceBackend(ActorSystem<?> system, String url, long bodyTimeoutMillis, int maxBodyBytes) {
		this.system = system;
		this.bodyReader = new BodyReader(system);
		this.client = new BackendHttpClient(system, url);
		this.bodyTimeoutMillis = bodyTimeoutMillis;
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	public BackendExecution start(BackendRequest request, BackendListener listener) {
		AtomicBoolean finished = new AtomicBoolean();
		Optional<HttpRequest> call = toHttpRequest(request);
		if (call.isEmpty()) {
			listener.onFailure(ResultCode.NOT_SERVED_HERE);
			return () -> finished.set(true);
		}
		SharedKillSwitch killSwitch = KillSwitches.shared(request.executionId());
		this.client.send(call.get(), killSwitch)
			.handle((response) -> readBody(response, listener, finished), (code) -> fail(code, listener, finished));
		return () -> {
			finished.set(true);
			killSwitch.abort(new IOException(ResultCode.CANCELLED_IN_FLIGHT.text()));
		};
	}

	private Optional<HttpRequest> toHttpRequest(BackendRequest request) {
		BackendCall call = request.call();
		Optional<HttpMethod> method = HttpMethods.lookup(call.method())
			.filter((known) -> TARGET.matcher(call.path()).matches());
		return method.map((httpMethod) -> HttpRequest.create()
			.withMethod(httpMethod)
			.addHeader(RawRequestURI.create(call.path()))
			.addHeader(RawHeader.create("X-Request-Id", request.requestId()))
			.addHeader(
					ContentTypeHeader.create(call.contentType().isEmpty() ? DEFAULT_CONTENT_TYPE : call.contentType()))
			.withEntity(HttpEntities.create(ContentTypes.NO_CONTENT_TYPE, call.body())));
	}

	private void readBody(HttpResponse response, BackendListener listener, AtomicBoolean finished) {
		if (!HeaderText.isIntact(response)) {
			response.discardEntityBytes(this.system);
			fail(ResultCode.BACKEND_BROKE_OFF, listener, finished);
			return;
		}
		this.bodyReader
			.read(response.entity().withSizeLimit(this.maxBodyBytes), this.bodyTimeoutMillis, MemoryLimit.NONE)
			.whenComplete((entity, failure) -> {
				if (!finished.compareAndSet(false, true)) {
					return;
				}
				if (failure != null) {
					listener.onFailure(resultCodeOf(failure));
					return;
				}
				int status = response.status().intValue();
				ResultCode code = (status < HTTP_SERVER_ERROR) ? ResultCode.OK : ResultCode.BACKEND_ERROR;
				listener.onPart(0, entity.getData().toArray());
				listener.onComplete(new BackendResult(code, status, ContentTypeHeader.valueOf(response), ""));
			});
	}

	private static void fail(ResultCode code, BackendListener listener, AtomicBoolean finished) {
		if (finished.compareAndSet(false, true)) {
			listener.onFailure(code);
		}
	}

	private static ResultCode resultCodeOf(Throwable failure) {
		boolean tooLarge = String.valueOf(failure).contains("EntityStreamSizeException");
		return tooLarge ? ResultCode.ANSWER_TOO_LARGE : ResultCode.BACKEND_BROKE_OFF;
	}

}
