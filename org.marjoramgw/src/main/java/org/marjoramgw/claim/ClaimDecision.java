package org.marjoramgw.claim;

import org.marjoramgw.ResultCode;

/**
 * Verdict on a claim.
 *
 * @author The marjoramgw authors
 */
public sealed interface ClaimDecision {

	/**
	 * The claim is the first of its key: the call may run.
	 */
	record Won() implements ClaimDecision {
	}

	/**
	 * The key has a recorded result.
	 *
	 * @param result the result
	 */
	record Repeated(RecordedResult result) implements ClaimDecision {
	}

	/**
	 * The call must not run.
	 *
	 * @param code why: one of {@link ResultCode#CLAIM_UNAVAILABLE},
	 * {@link ResultCode#KEY_IN_PROGRESS}, {@link ResultCode#KEY_REUSED},
	 * {@link ResultCode#KEY_OUTCOME_UNKNOWN}, {@link ResultCode#KEY_EXPIRED} or
	 * {@link ResultCode#ANSWER_NOT_KEPT}
	 */
	record Refused(ResultCode code) implements ClaimDecision {
	}

}
