package org.marjoramgw.direct.forward;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaType;
import org.apache.pekko.http.javadsl.model.ResponseEntity;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.ResponseTooLargeException;
import org.marjoramgw.http.BodyReader;

/**
 * Reads and streams the response bodies of backend servers.
 *
 * @author The marjoramgw authors
 */
final class ResponseBodies {

	private ResponseBodies() {
	}

	/**
	 * Reads the complete body of a response into memory.
	 * @param response the response
	 * @param timeoutMillis timeout, in milliseconds
	 * @param budget memory budget
	 * @param reader reader of bodies
	 * @return the body; fails if it is incomplete, not received in time, or with a
	 * {@link ResponseTooLargeException}
	 */
	static CompletionStage<HttpEntity.Strict> readFully(HttpResponse response, long timeoutMillis, BodyBudget budget,
			BodyReader reader) {
		BodyBudget.Reservation reservation = budget.open();
		return reader.read(response.entity(), timeoutMillis, reservation)
			.whenComplete((body, failure) -> reservation.close());
	}

	/**
	 * Tells whether a response is a complete stream of events, and not an error or a
	 * part.
	 * @param response the response
	 * @return whether its status and its media type say so
	 */
	static boolean isEventStream(HttpResponse response) {
		MediaType mediaType = response.entity().getContentType().mediaType();
		return response.status().equals(StatusCodes.OK) && mediaType.mainType().equals("text")
				&& mediaType.subType().equals("event-stream");
	}

	/**
	 * Tells whether a body has an end of its own. Otherwise it ends with its connection,
	 * which may also be the end of its server.
	 * @param response the response
	 * @return whether its head gives a length or says that the body comes in chunks
	 */
	static boolean isEndCertain(HttpResponse response) {
		return !response.entity().isCloseDelimited();
	}

	/**
	 * Returns the result code of a response that could not be read.
	 * @param failure the failure
	 * @return the code
	 */
	static ResultCode failureCode(Throwable failure) {
		for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
			if (cause instanceof ResponseTooLargeException) {
				return ResultCode.ANSWER_TOO_LARGE;
			}
		}
		return ResultCode.BACKEND_BROKE_OFF;
	}

	/**
	 * Creates the entity of a streamed response to a caller.
	 * @param response response of the backend server
	 * @param body bytes for the caller
	 * @return the entity
	 */
	static ResponseEntity streamed(HttpResponse response, Source<ByteString, ?> body) {
		return HttpEntities.createChunked(response.entity().getContentType(),
				body.mapMaterializedValue((value) -> value));
	}

}
