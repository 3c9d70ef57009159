package org.marjoramgw.policy.slot;

import org.marjoramgw.ResultCode;

/**
 * Answer to a request for a slot.
 *
 * @param refusal why it was refused, or {@code null} if it waits
 * @param waitMillis estimate of its wait, in milliseconds
 * @author The marjoramgw authors
 */
public record Admission(ResultCode refusal, long waitMillis) {

	/**
	 * Returns whether the request waits now.
	 * @return whether it was accepted
	 */
	public boolean isAccepted() {
		return this.refusal == null;
	}

}
