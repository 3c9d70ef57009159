package org.marjoramgw.policy.partition;

import java.util.List;

import org.marjoramgw.policy.placement.ServerView;

/**
 * Division of the servers of a service among kinds of requests.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface ServerPartition {

	/** Partition that lets every kind of request use all servers. */
	ServerPartition NONE = (service, kind, servers) -> servers;

	/**
	 * Selects the servers on which a request may be placed.
	 * @param service name of the service
	 * @param kind kind of the request
	 * @param servers all usable servers of the service
	 * @return the servers of its part, or all if the service isn't divided
	 */
	List<ServerView> select(String service, String kind, List<ServerView> servers);

}
