package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Checked exception that carries a numbered result.
 *
 * @author The marjoramgw authors
 */
public abstract class CodedException extends Exception {

	private static final long serialVersionUID = 1L;

	private final ResultCode code;

	/**
	 * Creates an exception.
	 * @param code the numbered result
	 * @param detail human-readable description of the error
	 * @param cause the cause, or {@code null}
	 */
	protected CodedException(ResultCode code, String detail, Throwable cause) {
		super("E" + code.number() + " " + code.text() + ": " + detail, cause);
		this.code = code;
	}

	/**
	 * Returns the numbered result.
	 * @return the result
	 */
	public ResultCode code() {
		return this.code;
	}

}
