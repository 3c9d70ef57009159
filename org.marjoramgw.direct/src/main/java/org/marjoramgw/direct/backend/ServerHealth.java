package org.marjoramgw.direct.backend;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.marjoramgw.MillisClock;

/**
 * Work that this process has at each backend server, and which servers failed lately;
 * thread-safe.
 * <p>
 * A server is suspect after consecutive failures, for a time that doubles with each
 * further one. Requests that follow that time are the probe: one success clears it.
 *
 * @author The marjoramgw authors
 */
public final class ServerHealth {

	/** Consecutive failures that make a server suspect. */
	private static final int SUSPECT_FAILURES = 2;

	private static final long BASE_SUSPECT_MILLIS = 500;

	private static final long MAX_SUSPECT_MILLIS = 4_000;

	private static final int MAX_DOUBLINGS = 4;

	private final MillisClock clock;

	private final Map<String, State> stateById = new HashMap<>();

	/**
	 * Creates an empty record.
	 * @param clock monotonic clock
	 */
	public ServerHealth(MillisClock clock) {
		this.clock = clock;
	}

	/**
	 * Adds work at a server.
	 * @param id id of the server
	 * @param work amount of work, negative to take it off
	 */
	public synchronized void addLoad(String id, double work) {
		state(id).load += work;
	}

	/**
	 * Returns the work at a server.
	 * @param id id of the server
	 * @return the work
	 */
	public synchronized double load(String id) {
		State state = this.stateById.get(id);
		return (state != null) ? state.load : 0;
	}

	/**
	 * Notes that a server answered in order.
	 * @param id id of the server
	 */
	public synchronized void onSuccess(String id) {
		state(id).failures = 0;
		state(id).suspectUntilMillis = Long.MIN_VALUE;
	}

	/**
	 * Notes that a server failed a request, or could not be reached.
	 * @param id id of the server
	 */
	public synchronized void onFailure(String id) {
		State state = state(id);
		state.failures++;
		if (state.failures >= SUSPECT_FAILURES) {
			suspect(state);
		}
	}

	/**
	 * Notes that a server could not be reached, which makes it suspect at once.
	 * @param id id of the server
	 */
	public synchronized void onUnreachable(String id) {
		State state = state(id);
		state.failures = Math.max(state.failures + 1, SUSPECT_FAILURES);
		suspect(state);
	}

	/**
	 * Tells whether a server failed lately.
	 * @param id id of the server
	 * @return whether it did
	 */
	public synchronized boolean isSuspect(String id) {
		State state = this.stateById.get(id);
		return state != null && this.clock.nowMillis() < state.suspectUntilMillis;
	}

	/**
	 * Forgets servers that are gone and have no work left.
	 * @param known ids of the servers that are known
	 */
	public synchronized void retain(Set<String> known) {
		this.stateById.entrySet().removeIf((entry) -> !known.contains(entry.getKey()) && entry.getValue().load <= 0);
	}

	private void suspect(State state) {
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
