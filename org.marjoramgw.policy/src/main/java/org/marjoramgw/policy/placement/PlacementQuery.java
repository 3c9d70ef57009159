package org.marjoramgw.policy.placement;

/**
 * Request for which a backend server is chosen.
 *
 * @param service name of the service
 * @param affinityKey text that requests with a common prompt share, or an empty text
 * @param failureDomain failure domain of the sender
 * @param promptTokens all tokens of its prompt, 0 for a request without one
 * @param maxPauseMillis longest pause between events for which its stream is in time, in
 * milliseconds; {@link Long#MAX_VALUE} if there is no limit
 * @author The marjoramgw authors
 */
public record PlacementQuery(String service, String affinityKey, String failureDomain, int promptTokens,
		long maxPauseMillis) {

	/**
	 * Creates a query for a placement that takes only the affinity into account.
	 * @param affinityKey text that requests with a common prompt share, or an empty text
	 * @param failureDomain failure domain of the sender
	 * @return the query
	 */
	public static PlacementQuery of(String affinityKey, String failureDomain) {
		return new PlacementQuery("", affinityKey, failureDomain, 0, Long.MAX_VALUE);
	}

}
