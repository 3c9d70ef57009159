package org.marjoramgw.entry.caller;

import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.http.javadsl.model.StatusCodes;

/**
 * Conversion of HTTP status numbers to Pekko status codes, including numbers that Pekko
 * doesn't define.
 *
 * @author The marjoramgw authors
 */
final class HttpStatus {

	private static final int CLIENT_CLOSED_REQUEST = 499;

	private static final int MIN_ERROR_STATUS = 400;

	private HttpStatus() {
	}

	static StatusCode of(int status) {
		if (status == CLIENT_CLOSED_REQUEST) {
			return StatusCodes.custom(status, "Client Closed Request", "", false, true);
		}
		return StatusCodes.lookup(status)
			.orElseGet(() -> StatusCodes.custom(status, "", "", status < MIN_ERROR_STATUS, true));
	}

}
