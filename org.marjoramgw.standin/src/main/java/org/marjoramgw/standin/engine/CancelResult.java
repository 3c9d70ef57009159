package org.marjoramgw.standin.engine;

/**
 * Result of a cancellation.
 *
 * @author The marjoramgw authors
 */
enum CancelResult {

	/** No waiting or running generation has the request id. */
	UNKNOWN,

	/** The generation was waiting and never started. */
	NOT_STARTED,

	/** The generation had started. */
	STARTED

}
