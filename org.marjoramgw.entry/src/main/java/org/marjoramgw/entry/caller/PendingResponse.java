package org.marjoramgw.entry.caller;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.ResultCode;
import org.marjoramgw.http.ContentTypeHeader;

/**
 * HTTP response to one request, completed at most once.
 *
 * @author The marjoramgw authors
 */
final class PendingResponse {

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final String requestId;

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	private boolean closing;

	PendingResponse(String requestId) {
		this.requestId = requestId;
	}

	CompletionStage<HttpResponse> response() {
		return this.response;
	}

	String requestId() {
		return this.requestId;
	}

	/**
	 * Closes the connection behind the response, since what follows the request can't be
	 * told from its body.
	 */
	void closeConnection() {
		this.closing = true;
	}

	void send(int status, ResponseEntity entity) {
		this.response.complete(newResponse(status).withEntity(entity));
	}

	void send(int status, ContentType contentType, ByteString body) {
		send(status, HttpEntities.create(contentType, body));
	}

	/**
	 * Sends the response of a plain service.
	 * @param status its status
	 * @param contentType its content type, one character for each byte; may be empty
	 * @param body its body
	 */
	void send(int status, String contentType, ByteString body) {
		HttpResponse plain = newResponse(status).withEntity(HttpEntities.create(ContentTypes.NO_CONTENT_TYPE, body));
		this.response.complete(contentType.isEmpty() ? plain : plain.addHeader(ContentTypeHeader.create(contentType)));
	}

	void sendError(ResultCode code, String detail, long retryAfterMillis) {
		String body = ErrorBody.of(code, detail, this.requestId);
		HttpResponse errorResponse = newResponse(code.httpStatus());
		if (code.httpStatus() == TOO_MANY_REQUESTS || code.httpStatus() == SERVICE_UNAVAILABLE) {
			long retryAfterSeconds = Math.max(1, (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
			errorResponse = errorResponse.addHeader(RawHeader.create("Retry-After", Long.toString(retryAfterSeconds)));
		}
		this.response.complete(errorResponse.withEntity(ContentTypes.APPLICATION_JSON, body));
	}

	private HttpResponse newResponse(int status) {
		HttpResponse created = HttpResponse.create()
			.withStatus(HttpStatus.of(status))
			.addHeader(RawHeader.create("X-Request-Id", this.requestId));
		return this.closing ? created.addHeader(Connection.create("close")) : created;
	}

}
