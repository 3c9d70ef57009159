package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals that the weight store is over its rate.
 *
 * @author The marjoramgw authors
 */
public final class WeightStoreBusyException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param detail what happened, for people
	 */
	public WeightStoreBusyException(String detail) {
		super(ResultCode.WEIGHT_STORE_BUSY, detail, null);
	}

}
