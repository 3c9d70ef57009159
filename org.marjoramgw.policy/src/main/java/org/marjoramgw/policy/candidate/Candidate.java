package org.marjoramgw.policy.candidate;

/**
 * Live side process as described by the last message from it.
 *
 * @param sideId process id of the side process
 * @param failureDomain its failure domain
 * @param inFlight number of requests in flight there
 * @param queued number of reservations that wait there
 * @param slotLimit limit of its requests in flight, at least 1
 * @author The marjoramgw authors
 */
public record Candidate(String sideId, String failureDomain, int inFlight, int queued, int slotLimit) {

	/**
	 * Returns the load relative to the slot limit.
	 * @return requests in flight and reservations waiting, per slot
	 */
	public double load() {
		return (double) (this.inFlight + this.queued) / Math.max(1, this.slotLimit);
	}

}
