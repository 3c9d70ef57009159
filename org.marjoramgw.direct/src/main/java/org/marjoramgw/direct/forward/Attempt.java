package org.marjoramgw.direct.forward;

import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.http.HttpConnection;

/**
 * One try of a request at one backend server; guarded by its request.
 *
 * @author The marjoramgw authors
 */
final class Attempt {

	private final BackendServer server;

	private HttpConnection connection;

	private boolean sent;

	Attempt(BackendServer server) {
		this.server = server;
	}

	BackendServer server() {
		return this.server;
	}

	String serverId() {
		return this.server.id();
	}

	/**
	 * Returns the connection that this attempt holds.
	 * @return the connection, or {@code null} if it holds none
	 */
	HttpConnection connection() {
		return this.connection;
	}

	void hold(HttpConnection opened) {
		this.connection = opened;
	}

	/**
	 * Gives the connection up.
	 * @return the connection, or {@code null} if it holds none
	 */
	HttpConnection giveUp() {
		HttpConnection held = this.connection;
		this.connection = null;
		return held;
	}

	/**
	 * Tells whether the request may have reached the server, which did not say that it
	 * did not run.
	 * @return whether it may have run
	 */
	boolean mayHaveRun() {
		return this.sent;
	}

	void markSent() {
		this.sent = true;
	}

	void markNotRun() {
		this.sent = false;
	}

}
