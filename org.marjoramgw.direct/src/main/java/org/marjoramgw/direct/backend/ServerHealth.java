package org.marjoramgw.direct.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.marjoramgw.MillisClock;

/**
 * Load that this process puts on each backend server, and recent failures of the servers;
 * thread-safe.
 * <p>
 * A server becomes suspect after consecutive failures, for a time that doubles with each
 * further failure. Requests after that time serve as probes, and one success clears the
 * suspicion.
 *
 * @author The marjoramgw authors
 */
public final class ServerHealth {

	/** Number of consecutive failures after which a server is suspect. */
	private static final int SUSPECT_FAILURES = 2;

	private static final long BASE_SUSPECT_MILLIS = 500;

	private static final long MAX_SUSPECT_MILLIS = 4_000;

	private static final int MAX_DOUBLINGS = 4;

	private final MillisClock clock;

	private final Map<String, State> stateById = new HashMap<>();

	/**
	 * Creates a tracker without servers.
	 * @param clock monotonic clock
	 */
	public ServerHealth(MillisClock clock) {
		this.clock = clock;
	}

	/**
	 * Adds to the load of a server.
	 * @param id id of the server
	 * @param load load to add, negative to subtract
	 */
	public synchronized void addLoad(String id, double load) {
		state(id).load += load;
	}

	/**
	 * Returns the load of a server.
	 * @param id id of the server
	 * @return the load
	 */
	public synchronized double load(String id) {
		State state = this.stateById.get(id);
		return (state != null) ? state.load : 0;
	}

	/**
	 * Records a successful response of a server.
	 * @param id id of the server
	 */
	public synchronized void onSuccess(String id) {
		state(id).failures = 0;
		state(id).suspectUntilMillis = Long.MIN_VALUE;
	}

	/**
	 * Records a failed request of a server.
	 * @param id id of the server
	 */
	public synchronized void onFailure(String id) {
		State state = state(id);
		state.failures++;
		if (state.failures >= SUSPECT_FAILURES) {
			markSuspect(state);
		}
	}

	/**
	 * Records that a server was unreachable, which makes it suspect immediately.
	 * @param id id of the server
	 */
	public synchronized void onUnreachable(String id) {
		State state = state(id);
		state.failures = Math.max(state.failures + 1, SUSPECT_FAILURES);
		markSuspect(state);
	}

	/**
	 * Tells whether a server is suspect because of recent failures.
	 * @param id id of the server
	 * @return whether it is suspect
	 */
	public synchronized boolean isSuspect(String id) {
		State state = this.stateById.get(id);
		return state != null && this.clock.nowMillis() < state.suspectUntilMillis;
	}

	/**
	 * Removes servers that are no longer registered and have no load left.
	 * @param known ids of the registered servers
	 */
	public synchronized void retain(Set<String> known) {
		this.stateById.entrySet().removeIf((entry) -> !known.contains(entry.getKey()) && entry.getValue().load <= 0);
	}

	private void markSuspect(State state) {
		int doublings = Math.min(state.failures - SUSPECT_FAILURES, MAX_DOUBLINGS);
		long millis = Math.min(BASE_SUSPECT_MILLIS << doublings, MAX_SUSPECT_MILLIS);
		state.suspectUntilMillis = this.clock.nowMillis() + millis;
	}

	private State state(String id) {
		return this.stateById.computeIfAbsent(id, (key) -> new State());
	}

	private static final class State {

		private double load;

		private int failures;

		private long suspectUntilMillis = Long.MIN_VALUE;

	}

}
