package org.marjoramgw.direct.forward;

import org.marjoramgw.direct.backend.ForwardingMetadata;
import org.marjoramgw.direct.model.Account;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.Ranks;
import org.marjoramgw.http.HttpConnection;
import org.marjoramgw.policy.prefill.PrefillLimiter;

/**
 * One try of a request at one backend server; guarded by its request.
 *
 * @author The marjoramgw authors
 */
final class Attempt {

	private final BackendServer server;

	private HttpConnection connection;

	private PrefillLimiter.Permit prefillPlace;

	private boolean started;

	private boolean demoted;

	private boolean ended;

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

	void setConnection(HttpConnection opened) {
		this.connection = opened;
	}

	/**
	 * Gives the connection up.
	 * @return the connection, or {@code null} if it holds none
	 */
	HttpConnection takeConnection() {
		HttpConnection held = this.connection;
		this.connection = null;
		return held;
	}

	/**
	 * Takes the place at which this attempt waits for its turn, and then for its first
	 * token.
	 * @param entered the place
	 */
	void setPrefillPlace(PrefillLimiter.Permit entered) {
		this.prefillPlace = entered;
		if (this.ended) {
			entered.release();
		}
	}

	void markStarted() {
		this.started = true;
	}

	boolean isStarted() {
		return this.started;
	}

	/**
	 * Lets this attempt go on without its place, behind all that can still be in time.
	 */
	void demote() {
		this.demoted = true;
		this.prefillPlace.release();
	}

	/**
	 * Returns what the server is told beside the caller's request.
	 * @param admitted what the configuration says of the request
	 * @param remainingMillis how long its caller still waits, in milliseconds
	 * @return what to add to the request
	 */
	ForwardingMetadata metadata(AdmittedRequest admitted, long remainingMillis) {
		return new ForwardingMetadata(serverId(), remainingMillis, admitted.account().map(Account::name),
				this.demoted ? Ranks.LEAST_URGENT : admitted.rank());
	}

	void onFirstToken() {
		if (this.prefillPlace != null) {
			this.prefillPlace.onFirstToken();
		}
	}

	/**
	 * Notes that this attempt is over.
	 */
	void end() {
		this.ended = true;
		if (this.prefillPlace != null) {
			this.prefillPlace.release();
		}
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
