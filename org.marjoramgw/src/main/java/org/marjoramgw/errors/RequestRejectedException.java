package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals a request that is rejected before it is processed.
 *
 * @author The marjoramgw authors
 */
public final class RequestRejectedException extends CodedException {

	private static final long serialVersionUID = 1L;

	private final String detail;

	/**
	 * Creates an exception.
	 * @param code the numbered result
	 * @param detail human-readable reason
	 */
	public RequestRejectedException(ResultCode code, String detail) {
		super(code, detail, null);
		this.detail = detail;
	}

	/**
	 * Returns the reason.
	 * @return the reason, without the number of the result code
	 */
	public String detail() {
		return this.detail;
	}

}
