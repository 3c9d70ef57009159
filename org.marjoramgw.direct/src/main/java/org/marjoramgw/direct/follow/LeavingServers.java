package org.marjoramgw.direct.follow;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.marjoramgw.direct.model.BackendServer;

/**
 * Incarnations of backend servers that have said in an answer that they leave. Not
 * thread-safe.
 * <p>
 * What an incarnation said holds until its end. A server that starts again under the same
 * id is known by its later start.
 *
 * @author The marjoramgw authors
 */
final class LeavingServers {

	/**
	 * Number of unregistered servers that are remembered, in case they register again.
	 */
	private static final int MAX_UNREGISTERED = 1_024;

	private final Map<String, Long> startMillisById = new LinkedHashMap<>();

	/**
	 * Remembers that a server leaves.
	 * @param server the server
	 * @param isRegistered tells whether the server with an id is registered
	 * @return whether this was unknown
	 */
	boolean add(BackendServer server, Predicate<String> isRegistered) {
		if (contains(server)) {
			return false;
		}
		this.startMillisById.remove(server.id());
		this.startMillisById.put(server.id(), server.startMillis());
		forgetOldest(isRegistered);
		return true;
	}

	/**
	 * Tells whether a server has said that it leaves.
	 * @param server the server
	 * @return whether this incarnation of it, or a later one, has said so
	 */
	boolean contains(BackendServer server) {
		Long startMillis = this.startMillisById.get(server.id());
		return startMillis != null && server.startMillis() <= startMillis;
	}

	private void forgetOldest(Predicate<String> isRegistered) {
		long excess = this.startMillisById.keySet().stream().filter(isRegistered.negate()).count() - MAX_UNREGISTERED;
		for (Iterator<String> ids = this.startMillisById.keySet().iterator(); excess > 0 && ids.hasNext();) {
			if (!isRegistered.test(ids.next())) {
				ids.remove();
				excess--;
			}
		}
	}

}
