package org.marjoramgw.direct.follow;

import java.util.HashMap;
import java.util.Map;

import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.model.BackendServer;

/**
 * Backend servers that have asked this process to send no requests for a time. Not
 * thread-safe.
 * <p>
 * The time is measured by a monotonic clock alone: a step of the time of day must not end
 * it early.
 *
 * @author The marjoramgw authors
 */
final class PausedServers {

	private final MillisClock clock;

	private final Map<String, Long> endMillisByIncarnation = new HashMap<>();

	/**
	 * Creates an empty set.
	 * @param clock monotonic clock
	 */
	PausedServers(MillisClock clock) {
		this.clock = clock;
	}

	/**
	 * Records that a server asked for no requests.
	 * @param server the server
	 * @param millis for how long, in milliseconds
	 * @return whether it was not paused before
	 */
	boolean add(BackendServer server, long millis) {
		boolean unknown = !contains(server);
		this.endMillisByIncarnation.merge(server.incarnation(), this.clock.nowMillis() + millis, Math::max);
		return unknown;
	}

	/**
	 * Tells whether a server is paused.
	 * @param server the server
	 * @return whether its time isn't over
	 */
	boolean contains(BackendServer server) {
		if (this.endMillisByIncarnation.isEmpty()) {
			return false;
		}
		long nowMillis = this.clock.nowMillis();
		this.endMillisByIncarnation.values().removeIf((endMillis) -> endMillis <= nowMillis);
		return this.endMillisByIncarnation.containsKey(server.incarnation());
	}

}
