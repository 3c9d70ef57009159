package org.marjoramgw.policy.placement;

/**
 * What a sender knows about a backend server.
 *
 * @param id id of the server
 * @param failureDomain its failure domain
 * @param load work that the sender has there, in a unit that is the same for all servers
 * of a service
 * @param suspect whether it failed recently
 * @author The marjoramgw authors
 */
public record ServerView(String id, String failureDomain, double load, boolean suspect) {
}
