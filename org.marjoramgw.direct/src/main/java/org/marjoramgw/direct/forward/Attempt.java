package org.marjoramgw.direct.forward;

import java.util.Optional;

import org.marjoramgw.direct.backend.ForwardingMetadata;
import org.marjoramgw.direct.model.Account;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.http.HttpConnection;
import org.marjoramgw.policy.fleet.LoadObserver;
import org.marjoramgw.policy.prefill.PrefillLimiter;
import org.marjoramgw.policy.usage.UsageObserver;

/**
 * Attempt to serve a request on one backend server. Not thread-safe; guarded by the lock
 * of its request.
 *
 * @author The marjoramgw authors
 */
final class Attempt {

	private final BackendServer server;

	private HttpConnection connection;

	private PrefillLimiter.Permit prefillPermit;

	private Wait wait = Wait.NONE;

	private boolean started;

	private boolean late;

	private boolean cold;

	private boolean ended;

	private boolean sent;

	private boolean begun;

	private boolean answering;

	private long sentMillis;

	private LoadObserver.RequestObserver observer = LoadObserver.RequestObserver.NONE;

	private boolean failed;

	private UsageObserver.Run countedRun = UsageObserver.Run.NONE;

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
	 * Returns the connection of this attempt.
	 * @return the connection, or {@code null} if there is none
	 */
	HttpConnection connection() {
		return this.connection;
	}

	void setConnection(HttpConnection newConnection) {
		this.connection = newConnection;
	}

	/**
	 * Removes the connection from this attempt.
	 * @return the connection, or {@code null} if there is none
	 */
	HttpConnection takeConnection() {
		HttpConnection taken = this.connection;
		this.connection = null;
		return taken;
	}

	/**
	 * Sets the permit with which this attempt waits for its prefill, and then for its
	 * first token.
	 * @param permit the permit; released at once if the attempt has already ended
	 */
	void setPrefillPermit(PrefillLimiter.Permit permit) {
		this.prefillPermit = permit;
		if (this.sent) {
			permit.onSent();
		}
		if (this.ended) {
			permit.release();
		}
	}

	/**
	 * Marks that this attempt waits for its permit.
	 */
	void beginWait() {
		this.wait = Wait.WAITING;
	}

	/**
	 * Ends the wait for the permit.
	 * @return whether it waited until now
	 */
	boolean endWait() {
		boolean waited = this.wait == Wait.WAITING;
		if (waited) {
			this.wait = Wait.OVER;
		}
		return waited;
	}

	/**
	 * Tells whether this attempt got its permit without waiting.
	 * @return whether it never waited
	 */
	boolean neverWaited() {
		return this.wait == Wait.NONE;
	}

	void markStarted() {
		this.started = true;
	}

	boolean isStarted() {
		return this.started;
	}

	/**
	 * Marks this attempt as too late for its latency target, so that the server runs it
	 * after requests of its rank that can still meet theirs. It doesn't wait for its
	 * permit any more.
	 */
	void markLate() {
		this.late = true;
		this.prefillPermit.bypass();
	}

	/**
	 * Marks that the server has to prefill shared parts of the prompt. It runs the prompt
	 * after those of its rank whose shared parts it has in its cache: under overload it
	 * can serve several of these in the same time.
	 */
	void markCold() {
		this.cold = true;
	}

	/**
	 * Returns the metadata that is added to the forwarded request.
	 * @param admitted the admitted request
	 * @param remainingMillis time left until the caller's deadline, in milliseconds
	 * @param lastEventId id of the event after which a stream continues, or empty
	 * @return the metadata
	 */
	ForwardingMetadata metadata(AdmittedRequest admitted, long remainingMillis, Optional<String> lastEventId) {
		return new ForwardingMetadata(serverId(), remainingMillis, admitted.account().map(Account::name),
				(this.late || this.cold) ? admitted.deferredServerRank() : admitted.serverRank(), lastEventId);
	}

	/**
	 * Tells whether the server began to write an answer.
	 * @return whether bytes of the body were received
	 */
	boolean hasBegun() {
		return this.begun;
	}

	/**
	 * Tells whether the head of an answer was received.
	 * @return whether it was
	 */
	boolean isAnswering() {
		return this.answering;
	}

	void markAnswering() {
		this.answering = true;
	}

	/**
	 * Returns when this attempt was sent.
	 * @return time of the monotonic clock, in milliseconds
	 */
	long sentMillis() {
		return this.sentMillis;
	}

	void onFirstToken() {
		this.begun = true;
		this.observer.onFirstToken();
		if (this.prefillPermit != null) {
			this.prefillPermit.onFirstToken();
		}
	}

	/**
	 * Records a pause between two events of the answer.
	 * @param pauseMillis the pause, in milliseconds
	 */
	void onPause(long pauseMillis) {
		this.observer.onPause(pauseMillis);
	}

	/**
	 * Marks that the server failed, or did not begin its answer in time.
	 */
	void markFailed() {
		this.failed = true;
	}

	/**
	 * Marks this attempt as ended and releases its prefill permit.
	 */
	void end() {
		this.ended = true;
		this.observer.onEnd(this.failed);
		if (this.prefillPermit != null) {
			this.prefillPermit.release();
		}
	}

	/**
	 * Tells whether this attempt has ended.
	 * @return whether it has
	 */
	boolean isEnded() {
		return this.ended;
	}

	/**
	 * Tells whether the server may have run the request, that is, it was sent and the
	 * server did not report that it did not run.
	 * @return whether it may have run
	 */
	boolean mayHaveRun() {
		return this.sent;
	}

	/**
	 * Sets the observer of the further course of this attempt.
	 * @param newObserver the observer
	 */
	void setObserver(LoadObserver.RequestObserver newObserver) {
		this.observer = newObserver;
	}

	/**
	 * Marks this attempt as sent.
	 * @param nowMillis present time by the monotonic clock, in milliseconds
	 */
	void markSent(long nowMillis) {
		this.sent = true;
		this.sentMillis = nowMillis;
		if (this.prefillPermit != null) {
			this.prefillPermit.onSent();
		}
	}

	/**
	 * Sets the run that was counted when this attempt was sent.
	 * @param run the run
	 */
	void setCountedRun(UsageObserver.Run run) {
		this.countedRun = run;
	}

	/**
	 * Marks that the server didn't run the request.
	 */
	void markNotRun() {
		this.sent = false;
		this.countedRun.takeBack();
		this.countedRun = UsageObserver.Run.NONE;
	}

	/** Wait of an attempt for its permit. */
	private enum Wait {

		/** It was admitted at once, or needs no permit. */
		NONE,

		/** It waits. */
		WAITING,

		/** It was admitted later, or is sent without being admitted. */
		OVER

	}

}
