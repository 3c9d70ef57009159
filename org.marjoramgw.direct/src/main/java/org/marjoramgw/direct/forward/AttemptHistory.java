package org.marjoramgw.direct.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.model.Route;

/**
 * History of the attempts of one request. Not thread-safe; guarded by the lock of its
 * request.
 *
 * @author The marjoramgw authors
 */
final class AttemptHistory {

	/** Maximum number of attempts for one request, including failed connects. */
	private static final int MAX_TRIES = 4;

	private static final long NEVER = -1;

	private final Set<String> excluded = new HashSet<>();

	private int tries;

	private int possibleRuns;

	private long sentMillis = NEVER;

	private long turnMillis = NEVER;

	private long permitMillis = NEVER;

	private long connectedMillis = NEVER;

	private int overtakenBy;

	private long firstBytesMillis = NEVER;

	/** Software versions of the servers that brought events, in order. */
	private final List<String> eventVersions = new ArrayList<>();

	private long pauseMillis;

	boolean mayTry() {
		return this.tries < MAX_TRIES;
	}

	void countTry() {
		this.tries++;
	}

	/**
	 * Returns the servers to exclude from further attempts.
	 * @return ids of the servers
	 */
	Set<String> excluded() {
		return this.excluded;
	}

	void exclude(String serverId) {
		this.excluded.add(serverId);
	}

	/**
	 * Records that the request may start, since it waited for its turn in this process
	 * long enough.
	 * @param ageMillis age of the request, in milliseconds
	 */
	void onTurn(long ageMillis) {
		this.turnMillis = ageMillis;
	}

	/**
	 * Records that the request doesn't wait for its server any more and connects to it.
	 * @param ageMillis age of the request, in milliseconds
	 */
	void onPermit(long ageMillis) {
		this.permitMillis = ageMillis;
	}

	/**
	 * Records that the connection to the server was established.
	 * @param ageMillis age of the request, in milliseconds
	 */
	void onConnected(long ageMillis) {
		this.connectedMillis = ageMillis;
	}

	/**
	 * Records that the request was sent.
	 * @param ageMillis age of the request, in milliseconds
	 * @param lessUrgentCount number of less urgent requests sent while it waited
	 */
	void onSent(long ageMillis, int lessUrgentCount) {
		this.sentMillis = ageMillis;
		this.overtakenBy = lessUrgentCount;
	}

	boolean wasSent() {
		return this.sentMillis != NEVER;
	}

	/**
	 * Records the arrival of the first bytes of a streamed response.
	 * @param ageMillis age of the request, in milliseconds
	 */
	void onFirstBytes(long ageMillis) {
		this.firstBytesMillis = ageMillis;
	}

	/**
	 * Records that a server brings events.
	 * @param version version of its software
	 */
	void onEvents(String version) {
		this.eventVersions.add(version);
	}

	/**
	 * Records the longest pause of a stream.
	 * @param pauseMillis longest time between events, in milliseconds
	 */
	void onPause(long pauseMillis) {
		this.pauseMillis = Math.max(this.pauseMillis, pauseMillis);
	}

	/**
	 * Counts a failed attempt that may have run and is followed by another attempt.
	 */
	void countPossibleRun() {
		this.possibleRuns++;
	}

	boolean mayHaveRun() {
		return this.possibleRuns > 0;
	}

	/**
	 * Replaces a result code that claims that the request did not run if an earlier
	 * attempt may have run.
	 * @param code result code of the rejection
	 * @return the same code, or {@link ResultCode#BACKEND_BROKE_OFF}, whose outcome is
	 * unknown
	 */
	ResultCode adjustForPossibleRun(ResultCode code) {
		return (mayHaveRun() && code.outcome() == ExecutionOutcome.NOT_RUN) ? ResultCode.BACKEND_BROKE_OFF : code;
	}

	/**
	 * Tells whether the request may run on another server after the current attempt.
	 * @param route route of the request
	 * @return whether the route allows another run
	 */
	boolean mayRunAgain(Route route) {
		return route.isRepeatable() && this.possibleRuns + 1 < route.maxAttempts();
	}

	/**
	 * Classifies the completed request by the targets of its route.
	 * @param code result code of the request
	 * @param route route of the request
	 * @param tookMillis age of the request at its completion, in milliseconds
	 * @return the attainment
	 */
	Attainment attainment(ResultCode code, Route route, long tookMillis) {
		return Attainment.of(code, route, (this.firstBytesMillis != NEVER) ? this.firstBytesMillis : tookMillis,
				this.pauseMillis);
	}

	/**
	 * Returns the log fields of the history.
	 * @return number of attempts, and age of the request when it last waited no longer
	 * for its turn, for its server and for its connection, at the last send and at the
	 * first bytes of a stream, -1 if there was none, longest pause of a stream, and the
	 * versions of the servers that brought events
	 */
	String describe() {
		return "tries=" + this.tries + " turn_ms=" + this.turnMillis + " permit_ms=" + this.permitMillis
				+ " connected_ms=" + this.connectedMillis + " sent_ms=" + this.sentMillis + " overtaken_by="
				+ this.overtakenBy + " first_ms=" + this.firstBytesMillis + " pause_ms=" + this.pauseMillis
				+ (this.eventVersions.isEmpty() ? "" : " event_versions=" + String.join(",", this.eventVersions));
	}

}
