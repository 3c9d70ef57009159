package org.marjoramgw.policy.placement;

/**
 * What a sender knows about a backend server.
 *
 * @param id id of the server
 * @param failureDomain its failure domain
 * @param load how long a request waits there, in units that are the same for all servers
 * of a service; milliseconds for servers that read prompts
 * @param suspect whether it failed lately
 * @author The marjoramgw authors
 */
public record ServerView(String id, String failureDomain, double load, boolean suspect) {
}
