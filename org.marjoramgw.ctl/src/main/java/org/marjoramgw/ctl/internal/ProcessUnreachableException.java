package org.marjoramgw.ctl.internal;

import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.CodedException;

/**
 * Thrown when a process can't be reached or sends no usable response.
 *
 * @author The marjoramgw authors
 */
public final class ProcessUnreachableException extends CodedException {

	private static final long serialVersionUID = 1L;

	ProcessUnreachableException(ResultCode code, String detail, Throwable cause) {
		super(code, detail, cause);
	}

}
