package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals that the log service could not be reached or refused a call; nothing was
 * appended.
 *
 * @author The marjoramgw authors
 */
public final class LogUnavailableException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param detail human-readable description of the error
	 * @param cause the cause, or {@code null}
	 */
	public LogUnavailableException(String detail, Throwable cause) {
		super(ResultCode.LOG_AWAY, detail, cause);
	}

}
