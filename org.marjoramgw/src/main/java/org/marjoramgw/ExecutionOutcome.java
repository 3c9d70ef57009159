package org.marjoramgw;

/**
 * Whether a request was executed, as far as its result tells.
 *
 * @author The marjoramgw authors
 */
public enum ExecutionOutcome {

	/** The request was not executed and may be sent again. */
	NOT_RUN,

	/** The request was executed; its response is complete. */
	RAN,

	/** The request may have been executed, in part or completely. */
	UNKNOWN

}
