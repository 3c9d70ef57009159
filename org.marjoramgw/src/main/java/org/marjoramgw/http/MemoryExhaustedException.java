package org.marjoramgw.http;

/**
 * Signals that no memory is left for a caller, or that its memory was reclaimed.
 *
 * @author The marjoramgw authors
 */
public final class MemoryExhaustedException extends Exception {

	private static final long serialVersionUID = 1L;

	MemoryExhaustedException(String message) {
		// Without a stack trace, since an overload throws many.
		super(message, null, false, false);
	}

}
