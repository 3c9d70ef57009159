package org.marjoramgw.claim;

import org.marjoramgw.ResultCode;

/**
 * Decision on a claim.
 *
 * @author The marjoramgw authors
 */
public sealed interface ClaimDecision {

	/**
	 * The claim holds its key and the call may run.
	 */
	record Won() implements ClaimDecision {
	}

	/**
	 * An earlier call with the key has a recorded result.
	 *
	 * @param result the recorded result
	 */
	record Repeated(RecordedResult result) implements ClaimDecision {
	}

	/**
	 * The call must not run.
	 *
	 * @param code the reason, one of {@link ResultCode#CLAIM_UNAVAILABLE},
	 * {@link ResultCode#KEY_IN_PROGRESS}, {@link ResultCode#KEY_REUSED},
	 * {@link ResultCode#KEY_OUTCOME_UNKNOWN}, {@link ResultCode#KEY_EXPIRED} or
	 * {@link ResultCode#ANSWER_NOT_KEPT}
	 */
	record Refused(ResultCode code) implements ClaimDecision {
	}

}
