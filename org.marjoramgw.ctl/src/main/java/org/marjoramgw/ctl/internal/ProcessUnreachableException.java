package org.marjoramgw.ctl.internal;

import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.CodedException;

/**
 * Signals that a process gave no usable answer to an operator.
 *
 * @author The marjoramgw authors
 */
public final class ProcessUnreachableException extends CodedException {

	private static final long serialVersionUID = 1L;

	ProcessUnreachableException(ResultCode code, String detail, Throwable cause) {
		super(code, detail, cause);
	}

}
