package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals that an engine has taken orders with a newer fencing number.
 *
 * @author The marjoramgw authors
 */
public final class OrderFencedException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param detail what happened, for people
	 */
	public OrderFencedException(String detail) {
		super(ResultCode.ORDER_FENCED, detail, null);
	}

}
