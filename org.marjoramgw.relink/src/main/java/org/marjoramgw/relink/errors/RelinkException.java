package org.marjoramgw.relink.errors;

/**
 * Thrown when the library JARs can't be rewritten.
 *
 * @author The marjoramgw authors
 */
public class RelinkException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message the failed operation, with the directory
	 * @param cause cause of the failure
	 */
	public RelinkException(String message, Throwable cause) {
		super(message, cause);
	}

}
