package org.marjoramgw.direct.forward;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.ResultCode;

/**
 * Answers of this process itself.
 *
 * @author The marjoramgw authors
 */
final class ErrorResponses {

	/** Status that says that a request did not run and may be sent again. */
	static final int SERVICE_UNAVAILABLE = 503;

	/** When a caller that was refused should come back, in seconds. */
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
		// Nobody reads the answer to a caller that is gone; its status is not a standard
		// one.
		return (code == ResultCode.CALLER_GONE) ? StatusCodes.BAD_GATEWAY : StatusCodes.get(code.httpStatus());
	}

}
