package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Thrown when a backend server sends more than is accepted.
 *
 * @author The marjoramgw authors
 */
public final class ResponseTooLargeException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param what what was too large
	 * @param maxBytes the limit that was exceeded, in bytes
	 */
	public ResponseTooLargeException(String what, long maxBytes) {
		super(ResultCode.ANSWER_TOO_LARGE, what + " is larger than " + maxBytes + " bytes", null);
	}

}
