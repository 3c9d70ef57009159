package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals a frame that can't be decoded or is over its bound.
 *
 * @author The marjoramgw authors
 */
public final class MalformedFrameException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param detail what happened, for people
	 * @param cause the cause, or {@code null}
	 */
	public MalformedFrameException(String detail, Throwable cause) {
		super(ResultCode.BAD_FRAME, detail, cause);
	}

}
