package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals that an engine refused a command because it has already accepted one with a
 * newer fencing number.
 *
 * @author The marjoramgw authors
 */
public final class OrderFencedException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param detail human-readable description of the error
	 */
	public OrderFencedException(String detail) {
		super(ResultCode.ORDER_FENCED, detail, null);
	}

}
