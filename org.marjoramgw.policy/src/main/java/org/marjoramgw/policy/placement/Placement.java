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
	 * Chooses a server.
	 * @param query the request
	 * @param servers the servers to choose from
	 * @return the server, or empty if there is none
	 */
	Optional<ServerView> choose(PlacementQuery query, List<ServerView> servers);

}
