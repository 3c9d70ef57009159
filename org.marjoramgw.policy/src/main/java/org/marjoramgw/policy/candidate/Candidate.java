package org.marjoramgw.policy.candidate;

/**
 * Live side process as the last message from it described it.
 *
 * @param sideId process id
 * @param failureDomain its failure domain
 * @param inFlight requests that ran there
 * @param queued reservations that waited there
 * @param slotLimit its limit of requests in flight, at least 1
 * @author The marjoramgw authors
 */
public record Candidate(String sideId, String failureDomain, int inFlight, int queued, int slotLimit) {

	/**
	 * Returns the load in units of the slot limit.
	 * @return requests in flight and waiting for each slot
	 */
	public double load() {
		return (double) (this.inFlight + this.queued) / Math.max(1, this.slotLimit);
	}

}
