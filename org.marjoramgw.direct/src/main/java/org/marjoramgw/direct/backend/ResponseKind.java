package org.marjoramgw.direct.backend;

/**
 * What the head of a backend server's answer says.
 *
 * @author The marjoramgw authors
 */
public enum ResponseKind {

	/** The server ran the request, and this is its answer. */
	VALID,

	/** The server ran the request and failed. */
	SERVER_ERROR,

	/** The server did not run the request and never will. */
	NOT_RUN,

	/** Another server has the address; the request did not run. */
	MISDIRECTED,

	/** The answer isn't one to this request, or lacks what a server's own answer has. */
	UNTRUSTED

}
