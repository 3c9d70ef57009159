package org.marjoramgw.rig;

/**
 * Thrown when a deployment cannot be started or controlled.
 *
 * @author The marjoramgw authors
 */
public final class RigException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message description of the failure
	 * @param cause the cause, or {@code null}
	 */
	public RigException(String message, Throwable cause) {
		super(message, cause);
	}

}
