package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals a frame that can't be decoded or exceeds the maximum size.
 *
 * @author The marjoramgw authors
 */
public final class MalformedFrameException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param detail human-readable description of the error
	 * @param cause the cause, or {@code null}
	 */
	public MalformedFrameException(String detail, Throwable cause) {
		super(ResultCode.BAD_FRAME, detail, cause);
	}

}
