package org.marjoramgw.direct.backend;

/**
 * Kind of a backend server's response, determined from its head.
 *
 * @author The marjoramgw authors
 */
public enum ResponseKind {

	/** The server ran the request, and this is its response. */
	VALID,

	/** The server ran the request and reports a server error. */
	SERVER_ERROR,

	/** The server did not run the request and will not run it later. */
	NOT_RUN,

	/** The address belongs to another server; the request did not run. */
	MISDIRECTED,

	/**
	 * The response belongs to another request, or lacks the proof that the server itself
	 * produced it.
	 */
	UNTRUSTED;

	/**
	 * Tells whether the server says that it ran the request.
	 * @return whether it ran, well or not
	 */
	public boolean isExecuted() {
		return this == VALID || this == SERVER_ERROR;
	}

}
