package org.marjoramgw.policy.placement;

import java.util.List;
import java.util.Optional;

/**
 * Choice of the backend server for one request.
 *
 * @author The marjoramgw authors
 */
public interface Placement {

	/**
	 * Called before a choice, which may be among some of the servers only.
	 * @param query the request
	 * @param servers all usable servers of its service
	 */
	default void onUsable(PlacementQuery query, List<ServerView> servers) {
	}

	/**
	 * Chooses a server.
	 * @param query the request
	 * @param servers the servers to choose from
	 * @return the server, or empty if there is none
	 */
	Optional<ServerView> choose(PlacementQuery query, List<ServerView> servers);

	/**
	 * Describes the rule by which a server is chosen, for operators.
	 * @param query the request
	 * @param servers the servers to choose from
	 * @return the rule
	 */
	default String rule(PlacementQuery query, List<ServerView> servers) {
		return getClass().getSimpleName();
	}

}
