package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals that the platform's store refused a call or returned no usable response.
 *
 * @author The marjoramgw authors
 */
public final class StoreUnavailableException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param detail human-readable description of the error
	 * @param cause the cause, or {@code null}
	 */
	public StoreUnavailableException(String detail, Throwable cause) {
		super(ResultCode.STORE_AWAY, detail, cause);
	}

}
