package org.marjoramgw.direct.model;

/**
 * Kind of the requests of a route: whether they may be repeated, and how they are
 * answered.
 *
 * @author The marjoramgw authors
 */
public enum RequestKind {

	/** May run any number of times; answered by one complete response. */
	IDEMPOTENT,

	/** May run at most once; answered by one complete response. */
	NON_IDEMPOTENT,

	/** Answered by an event stream. */
	STREAMING

}
