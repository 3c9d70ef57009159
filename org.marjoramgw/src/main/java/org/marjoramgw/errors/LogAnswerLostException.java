package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals that the response to an append was lost; the log may contain the records, now
 * or later.
 *
 * @author The marjoramgw authors
 */
public final class LogAnswerLostException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param detail human-readable description of the error
	 * @param cause the cause, or {@code null}
	 */
	public LogAnswerLostException(String detail, Throwable cause) {
		super(ResultCode.LOG_ANSWER_LOST, detail, cause);
	}

}
