package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals that the answer to an append was lost; the records may be in the log.
 *
 * @author The marjoramgw authors
 */
public final class LogAnswerLostException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param detail what happened, for people
	 * @param cause the cause, or {@code null}
	 */
	public LogAnswerLostException(String detail, Throwable cause) {
		super(ResultCode.LOG_ANSWER_LOST, detail, cause);
	}

}
