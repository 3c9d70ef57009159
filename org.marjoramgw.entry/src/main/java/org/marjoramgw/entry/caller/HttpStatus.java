package org.marjoramgw.entry.caller;

import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.http.javadsl.model.StatusCodes;

/**
 * Conversion of status numbers, including those that the HTTP library doesn't name.
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
