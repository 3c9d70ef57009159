package org.marjoramgw.policy.slot;

import org.marjoramgw.ResultCode;

/**
 * Result of offering a request to the scheduler.
 *
 * @param refusal reason of the refusal, or {@code null} if the request was accepted
 * @param waitMillis estimated wait for a slot, in milliseconds
 * @author The marjoramgw authors
 */
public record Admission(ResultCode refusal, long waitMillis) {

	/**
	 * Returns whether the request was accepted and waits now.
	 * @return whether it was accepted
	 */
	public boolean isAccepted() {
		return this.refusal == null;
	}

}
