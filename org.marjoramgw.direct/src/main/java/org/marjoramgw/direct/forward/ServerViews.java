package org.marjoramgw.direct.forward;

import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.policy.fleet.FleetKeys;
import org.marjoramgw.policy.placement.ServerView;

/**
 * What a placement is told of each server.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface ServerViews {

	/**
	 * Returns what is known of a server.
	 * @param server the server
	 * @return the view
	 */
	ServerView of(BackendServer server);

	/**
	 * Returns the views for a placement by the load of this process alone.
	 * @param health load and failure state of backend servers
	 * @return the views, without keys and limits of the servers
	 */
	static ServerViews ofOwnLoad(ServerHealth health) {
		return (server) -> new ServerView(server.id(), server.failureDomain(), health.load(server.id()),
				health.isSuspect(server.id()));
	}

	/**
	 * Returns the views for a placement by the load of all processes.
	 * @param health load and failure state of backend servers
	 * @param routing the configuration, which may limit the slots of an engine
	 * @return the views
	 */
	static ServerViews ofSharedLoad(ServerHealth health, ActiveRouting routing) {
		return (server) -> new ServerView(server.id(), server.failureDomain(), health.load(server.id()),
				health.isSuspect(server.id()), FleetKeys.serverKey(server.incarnation()),
				slotCount(server, routing.engine(server.service()).slotCount()));
	}

	private static int slotCount(BackendServer server, int configured) {
		int registered = (server.slotCount() > 0) ? server.slotCount() : Integer.MAX_VALUE;
		return (configured < Integer.MAX_VALUE) ? configured : registered;
	}

}
