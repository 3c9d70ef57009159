package org.marjoramgw.direct.model;

/**
 * What a request of a route may do twice, and what its answer is.
 *
 * @author The marjoramgw authors
 */
public enum RequestKind {

	/** May run any number of times; one plain answer. */
	IDEMPOTENT,

	/** May run at most once; one plain answer. */
	NON_IDEMPOTENT,

	/** Answered by a stream of events. */
	STREAMING

}
