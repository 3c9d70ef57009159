package org.marjoramgw.direct.forward;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.ResultCode;

/**
 * HTTP responses that this process generates itself.
 *
 * @author The marjoramgw authors
 */
final class ErrorResponses {

	/** Status of requests that did not run and may be retried by the caller. */
	static final int SERVICE_UNAVAILABLE = 503;

	/** Value of the Retry-After header, in seconds. */
	private static final String RETRY_AFTER_SECONDS = "0.5";

	private ErrorResponses() {
	}

	static HttpResponse of(ResultCode code) {
		String body = "{\"code\":" + code.number() + ",\"error\":\"" + code.text() + "\"}";
		HttpResponse response = HttpResponse.create()
			.withStatus(status(code))
			.withEntity(ContentTypes.APPLICATION_JSON, body);
		if (code.httpStatus() == SERVICE_UNAVAILABLE && code.outcome() == ExecutionOutcome.NOT_RUN) {
			return response.addHeader(RawHeader.create("Retry-After", RETRY_AFTER_SECONDS));
		}
		return response;
	}

	private static StatusCode status(ResultCode code) {
		// CALLER_GONE has the non-standard status 499. The disconnected caller never
		// receives this response.
		return (code == ResultCode.CALLER_GONE) ? StatusCodes.BAD_GATEWAY : StatusCodes.get(code.httpStatus());
	}

}
