package org.marjoramgw.policy.placement;

/**
 * What a sender knows about a backend server.
 *
 * @param id id of the server
 * @param failureDomain its failure domain
 * @param load work that the sender has there, in a unit that is the same for all servers
 * of a service
 * @param suspect whether it failed recently
 * @param serverKey key of this run of the server, see
 * {@link org.marjoramgw.policy.fleet.FleetKeys#serverKey}
 * @param slotCount number of requests that it runs concurrently,
 * {@link Integer#MAX_VALUE} if it is unknown
 * @author The marjoramgw authors
 */
public record ServerView(String id, String failureDomain, double load, boolean suspect, int serverKey, int slotCount) {

	/**
	 * Creates a view of a server whose limits are unknown.
	 * @param id id of the server
	 * @param failureDomain its failure domain
	 * @param load work that the sender has there
	 * @param suspect whether it failed recently
	 */
	public ServerView(String id, String failureDomain, double load, boolean suspect) {
		this(id, failureDomain, load, suspect, id.hashCode(), Integer.MAX_VALUE);
	}

}
