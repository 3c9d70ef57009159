package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals that the weight store refused a request over its rate limit.
 *
 * @author The marjoramgw authors
 */
public final class WeightStoreBusyException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param detail human-readable description of the error
	 */
	public WeightStoreBusyException(String detail) {
		super(ResultCode.WEIGHT_STORE_BUSY, detail, null);
	}

}
