package org.marjoramgw.direct.forward;

import java.util.HashSet;
import java.util.Set;

import org.marjoramgw.ResultCode;
import org.marjoramgw.direct.model.Route;

/**
 * What became of a request's attempts so far; guarded by its request.
 *
 * @author The marjoramgw authors
 */
final class AttemptHistory {

	/** Sends and connection attempts that one request may take. */
	private static final int MAX_TRIES = 4;

	private static final long NEVER = -1;

	private final Set<String> excluded = new HashSet<>();

	private int tries;

	private int possibleRuns;

	private long sentMillis = NEVER;

	private long firstBytesMillis = NEVER;

	boolean mayTry() {
		return this.tries < MAX_TRIES;
	}

	void countTry() {
		this.tries++;
	}

	/**
	 * Returns the servers that are not tried again.
	 * @return their ids
	 */
	Set<String> excluded() {
		return this.excluded;
	}

	void exclude(String serverId) {
		this.excluded.add(serverId);
	}

	/**
	 * Notes that the request was sent.
	 * @param ageMillis its age, in milliseconds
	 */
	void onSent(long ageMillis) {
		this.sentMillis = ageMillis;
	}

	boolean wasSent() {
		return this.sentMillis != NEVER;
	}

	/**
	 * Notes that the first bytes of a stream came.
	 * @param ageMillis age of the request, in milliseconds
	 */
	void onFirstBytes(long ageMillis) {
		this.firstBytesMillis = ageMillis;
	}

	/**
	 * Notes that an attempt that may have run is over, and is followed by another one.
	 */
	void countPossibleRun() {
		this.possibleRuns++;
	}

	boolean mayHaveRun() {
		return this.possibleRuns > 0;
	}

	/**
	 * Replaces a code that would promise that the request did not run, if it may have.
	 * @param code the code of a refusal
	 * @return that code, or one that promises nothing
	 */
	ResultCode adjustForPossibleRun(ResultCode code) {
		return (mayHaveRun() && code.httpStatus() == ErrorResponses.SERVICE_UNAVAILABLE) ? ResultCode.BACKEND_BROKE_OFF
				: code;
	}

	/**
	 * Tells whether the request may run at one more server after the present one.
	 * @param route its route
	 * @return whether it may
	 */
	boolean mayRunAgain(Route route) {
		return route.isRepeatable() && this.possibleRuns + 1 < route.maxAttempts();
	}

	/**
	 * Describes the history for a log line.
	 * @return tries, and ages at the last send and the first bytes, -1 if there was none
	 */
	String describe() {
		return "tries=" + this.tries + " sent_ms=" + this.sentMillis + " first_ms=" + this.firstBytesMillis;
	}

}
