package org.marjoramgw.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.HttpCredentials;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Framing;
import org.apache.pekko.stream.javadsl.FramingTruncation;
import org.apache.pekko.util.ByteString;

/**
 * Non-blocking HTTP client of the entries: chat requests with streamed and non-streamed
 * responses, and calls to plain services.
 *
 * @author The marjoramgw authors
 */
public final class RequestClient {

	private static final int MAX_LINE_BYTES = 1 << 20;

	private static final String EVENT_STREAM = "text/event-stream";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final ActorSystem<?> system;

	private final long bodyTimeoutMillis;

	/**
	 * Creates a client.
	 * @param system the actor system that runs the requests
	 * @param bodyTimeoutMillis timeout for reading a non-streamed body, in milliseconds
	 */
	public RequestClient(ActorSystem<?> system, long bodyTimeoutMillis) {
		this.system = system;
		this.bodyTimeoutMillis = bodyTimeoutMillis;
	}

	/**
	 * Sends a chat request.
	 * @param call the request
	 * @param listener called for each token of a streamed response, or once with the text
	 * of a non-streamed one
	 * @return the result; a failed request completes with a result that has a failure
	 */
	public CompletionStage<CallResult> chat(ChatCall call, TokenListener listener) {
		HttpRequest request = HttpRequest.POST("http://" + call.target() + "/v1/chat/completions")
			.withEntity(ContentTypes.APPLICATION_JSON, write(call.body()))
			.addHeaders(headers(call.key(), call.requestClass(), ""));
		return send(request, listener, true);
	}

	/**
	 * Sends a request to a plain service.
	 * @param call the request
	 * @return the result; a failed request completes with a result that has a failure
	 */
	public CompletionStage<CallResult> service(ServiceCall call) {
		String uri = "http://" + call.target() + "/v1/services/" + call.service() + "/" + call.path();
		HttpRequest request = HttpRequest.POST(uri)
			.withEntity(ContentTypes.APPLICATION_JSON, call.body())
			.addHeaders(headers(call.key(), call.requestClass(), call.idempotencyKey()));
		return send(request, TokenListener.NONE, false);
	}

	private CompletionStage<CallResult> send(HttpRequest request, TokenListener listener, boolean chat) {
		return Http.get(this.system)
			.singleRequest(request)
			.thenCompose((response) -> read(response, listener, chat))
			.exceptionally((ex) -> new CallResult(0, "", "", false, 0, "", 0, rootMessage(ex)));
	}

	private CompletionStage<CallResult> read(HttpResponse response, TokenListener listener, boolean chat) {
		ResponseParser reader = new ResponseParser(response.status().intValue(), header(response, "X-Request-Id"),
				retryAfterSeconds(response), listener);
		if (response.entity().getContentType().toString().startsWith(EVENT_STREAM)) {
			return readEvents(response, reader);
		}
		return response.entity().toStrict(this.bodyTimeoutMillis, this.system).thenApply((entity) -> {
			String body = entity.getData().utf8String();
			if (chat) {
				reader.readChatBody(body);
			}
			else {
				reader.readPlainBody(body);
			}
			return reader.result("");
		}).exceptionally((ex) -> reader.result(rootMessage(ex)));
	}

	private CompletionStage<CallResult> readEvents(HttpResponse response, ResponseParser reader) {
		return response.entity()
			.getDataBytes()
			.via(Framing.delimiter(ByteString.fromString("\n"), MAX_LINE_BYTES, FramingTruncation.ALLOW))
			.map(ByteString::utf8String)
			.runForeach(reader::readEventLine, this.system)
			.handle((done, ex) -> reader.result((ex != null) ? rootMessage(ex) : ""));
	}

	private static List<HttpHeader> headers(String key, String requestClass, String idempotencyKey) {
		List<HttpHeader> headers = new ArrayList<>();
		if (!key.isEmpty()) {
			headers.add(org.apache.pekko.http.javadsl.model.headers.Authorization
				.create(HttpCredentials.createOAuth2BearerToken(key)));
		}
		if (!requestClass.isEmpty()) {
			headers.add(RawHeader.create("X-Request-Class", requestClass));
		}
		if (!idempotencyKey.isEmpty()) {
			headers.add(RawHeader.create("Idempotency-Key", idempotencyKey));
		}
		return headers;
	}

	private static String header(HttpResponse response, String name) {
		return response.getHeader(name).map(HttpHeader::value).orElse("");
	}

	private static long retryAfterSeconds(HttpResponse response) {
		String value = header(response, "Retry-After");
		return value.matches("\\d{1,9}") ? Long.parseLong(value) : 0;
	}

	private static String write(Object body) {
		try {
			return MAPPER.writeValueAsString(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static String rootMessage(Throwable ex) {
		Throwable root = (ex instanceof CompletionException && ex.getCause() != null) ? ex.getCause() : ex;
		return root.toString();
	}

}
