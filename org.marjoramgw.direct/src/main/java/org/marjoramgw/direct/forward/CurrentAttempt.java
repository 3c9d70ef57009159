package org.marjoramgw.direct.forward;

import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.http.HttpConnection;

/**
 * The attempt of a request that goes on, if there is one, and the load that it adds to
 * its server. Not thread-safe; guarded by the lock of its request.
 *
 * @author The marjoramgw authors
 */
final class CurrentAttempt {

	/** Load that an attempt adds to its server; all requests count the same. */
	private static final double LOAD = 1;

	private final ServerHealth health;

	private Attempt attempt;

	/**
	 * Creates a holder without an attempt.
	 * @param health load of the servers
	 */
	CurrentAttempt(ServerHealth health) {
		this.health = health;
	}

	boolean isNone() {
		return this.attempt == null;
	}

	/**
	 * Tells whether an attempt goes on.
	 * @param other the attempt
	 * @return whether it is the current one
	 */
	boolean is(Attempt other) {
		return this.attempt == other;
	}

	boolean mayHaveRun() {
		return this.attempt != null && this.attempt.mayHaveRun();
	}

	/**
	 * Tells whether there is an attempt whose answer has not begun.
	 * @return whether its server may still begin one
	 */
	boolean awaitsAnswer() {
		return this.attempt != null && !this.attempt.hasBegun();
	}

	/**
	 * Records that the server of the attempt failed.
	 */
	void fail() {
		this.attempt.markFailed();
		this.health.onFailure(this.attempt.serverId());
	}

	/**
	 * Marks the server of the attempt as failed if its answer should have begun by now.
	 */
	void markOverdue() {
		if (mayHaveRun() && awaitsAnswer()) {
			this.attempt.markFailed();
		}
	}

	void begin(Attempt next) {
		this.attempt = next;
		this.health.addLoad(next.serverId(), LOAD);
	}

	/**
	 * Ends the attempt if there is one.
	 * @param closeConnection whether its connection is closed and not used again
	 */
	void end(boolean closeConnection) {
		Attempt ended = this.attempt;
		this.attempt = null;
		if (ended == null) {
			return;
		}
		ended.end();
		this.health.addLoad(ended.serverId(), -LOAD);
		HttpConnection connection = ended.takeConnection();
		if (closeConnection && connection != null) {
			connection.close();
		}
	}

}
