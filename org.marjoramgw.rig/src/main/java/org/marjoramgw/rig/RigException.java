package org.marjoramgw.rig;

/**
 * Signals a deployment that could not be started or controlled.
 *
 * @author The marjoramgw authors
 */
public final class RigException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what failed
	 * @param cause the cause, or {@code null}
	 */
	public RigException(String message, Throwable cause) {
		super(message, cause);
	}

}
