package org.marjoramgw.relink.errors;

/**
 * Libraries could not be rewritten.
 *
 * @author The marjoramgw authors
 */
public class RelinkException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param message what could not be done, with the file
	 * @param cause why
	 */
	public RelinkException(String message, Throwable cause) {
		super(message, cause);
	}

}
