package org.marjoramgw.policy.fleet;

/**
 * Load of the backend servers by all entry processes: own requests at once, those of the
 * peers as last reported.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface FleetLoad {

	/**
	 * Returns the load of a server.
	 * @param serverKey key of the server, see {@link FleetKeys#serverKey}
	 * @return the load
	 */
	ServerLoad load(int serverKey);

}
