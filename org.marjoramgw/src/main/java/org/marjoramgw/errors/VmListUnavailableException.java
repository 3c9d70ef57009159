package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals that the VM list could not be read.
 *
 * @author The marjoramgw authors
 */
public final class VmListUnavailableException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param detail human-readable description of the error
	 * @param cause the cause, or {@code null}
	 */
	public VmListUnavailableException(String detail, Throwable cause) {
		super(ResultCode.VM_LIST_AWAY, detail, cause);
	}

}
