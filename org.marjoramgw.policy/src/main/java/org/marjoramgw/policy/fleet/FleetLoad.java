package org.marjoramgw.policy.fleet;

/**
 * Load of the backend servers by all entry processes: own requests at once, those of the
 * peers as last reported.
 *
 * @author The marjoramgw authors
 */
public interface FleetLoad {

	/**
	 * Returns the load of a server.
	 * @param serverKey key of the server, see {@link FleetKeys#serverKey}
	 * @return the load
	 */
	ServerLoad load(int serverKey);

	/**
	 * Tells whether a server probably has a part of a prompt in its cache.
	 * @param partKey key of the part, see {@link FleetKeys#partKey}
	 * @param serverKey key of the server
	 * @return whether the part was sent there recently
	 */
	boolean isCached(int partKey, int serverKey);

	/**
	 * Returns the number of parts of prompts that a server probably has in its cache.
	 * @param serverKey key of the server
	 * @return the number of parts
	 */
	int cachedCount(int serverKey);

}
