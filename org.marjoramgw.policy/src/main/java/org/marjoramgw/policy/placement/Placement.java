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
	 * @param affinityKey text that requests with a common prompt share, or an empty text
	 * @param failureDomain failure domain of the sender
	 * @param servers the servers to choose from
	 * @return the server, or empty if there is none
	 */
	Optional<ServerView> choose(String affinityKey, String failureDomain, List<ServerView> servers);

}
