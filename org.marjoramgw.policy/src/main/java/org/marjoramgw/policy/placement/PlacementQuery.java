package org.marjoramgw.policy.placement;

import java.util.List;

import org.marjoramgw.policy.fleet.SharedPart;

/**
 * Request for which a backend server is chosen.
 *
 * @param service name of the service
 * @param affinityKey text that requests with a common prompt share, or an empty text
 * @param failureDomain failure domain of the sender
 * @param sharedParts shared parts of its prompt in order, empty if it has none
 * @param promptTokens all tokens of its prompt, 0 for a request without one
 * @param targetMillis time within which its first token is timely, in milliseconds; 0 if
 * there is no target
 * @param rank its priority rank; 0 is the most urgent
 * @author The marjoramgw authors
 */
public record PlacementQuery(String service, String affinityKey, String failureDomain, List<SharedPart> sharedParts,
		int promptTokens, long targetMillis, int rank) {

	/**
	 * Creates a query.
	 */
	public PlacementQuery {
		sharedParts = List.copyOf(sharedParts);
	}

	/**
	 * Creates a query for a placement that takes only the affinity into account.
	 * @param affinityKey text that requests with a common prompt share, or an empty text
	 * @param failureDomain failure domain of the sender
	 * @return the query
	 */
	public static PlacementQuery of(String affinityKey, String failureDomain) {
		return new PlacementQuery("", affinityKey, failureDomain, List.of(), 0, 0, 0);
	}

}
