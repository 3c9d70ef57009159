package org.marjoramgw.entry.caller;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.marjoramgw.ResultCode;

/**
 * Promise of the HTTP response to one request.
 *
 * @author The marjoramgw authors
 */
final class PendingResponse {

	private static final long SECOND_MILLIS = 1_000;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private final String requestId;

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	PendingResponse(String requestId) {
		this.requestId = requestId;
	}

	CompletionStage<HttpResponse> response() {
		return this.response;
	}

	String requestId() {
		return this.requestId;
	}

	void send(int status, ResponseEntity entity) {
		this.response.complete(head(status).withEntity(entity));
	}

	void send(int status, ContentType contentType, byte[] body) {
		send(status, HttpEntities.create(contentType, body));
	}

	void sendError(ResultCode code, String detail, long retryAfterMillis) {
		String body = ErrorBody.of(code, detail, this.requestId);
		HttpResponse head = head(code.httpStatus());
		if (code.httpStatus() == TOO_MANY_REQUESTS || code.httpStatus() == UNAVAILABLE) {
			long seconds = Math.max(1, (retryAfterMillis + SECOND_MILLIS - 1) / SECOND_MILLIS);
			head = head.addHeader(RawHeader.create("Retry-After", Long.toString(seconds)));
		}
		this.response.complete(head.withEntity(ContentTypes.APPLICATION_JSON, body));
	}

	private HttpResponse head(int status) {
		return HttpResponse.create()
			.withStatus(HttpStatus.of(status))
			.addHeader(RawHeader.create("X-Request-Id", this.requestId));
	}

}
