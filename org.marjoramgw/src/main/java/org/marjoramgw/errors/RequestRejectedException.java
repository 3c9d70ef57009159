package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals a request that is refused before anything was done for it.
 *
 * @author The marjoramgw authors
 */
public final class RequestRejectedException extends CodedException {

	private static final long serialVersionUID = 1L;

	private final String detail;

	/**
	 * Creates an exception.
	 * @param code the numbered result
	 * @param detail what was wrong, for people
	 */
	public RequestRejectedException(ResultCode code, String detail) {
		super(code, detail, null);
		this.detail = detail;
	}

	/**
	 * Returns what was wrong.
	 * @return the detail, without the number
	 */
	public String detail() {
		return this.detail;
	}

}
