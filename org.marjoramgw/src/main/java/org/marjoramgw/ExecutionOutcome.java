package org.marjoramgw;

/**
 * What a result says about the execution of a request.
 *
 * @author The marjoramgw authors
 */
public enum ExecutionOutcome {

	/** The request did not run and may be sent again. */
	NOT_RUN,

	/** The request ran; its answer is whole. */
	RAN,

	/** The request may have run, in part or in whole. */
	UNKNOWN

}
