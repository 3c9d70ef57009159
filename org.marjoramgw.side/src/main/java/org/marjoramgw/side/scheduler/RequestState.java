package org.marjoramgw.side.scheduler;

/**
 * State of a request at this side process.
 *
 * @author The marjoramgw authors
 */
enum RequestState {

	/** Waiting for a slot. */
	QUEUED,

	/** Holds a slot and waits for the request body. */
	GRANTED,

	/** Holds a slot and waits for the decision on its idempotency claim. */
	CLAIMING,

	/** Running at the backend server. */
	RUNNING,

	/** Lost its slot to a higher tier and waits to be resumed. */
	PREEMPTED,

	/** Finished; its response is retained for the entry. */
	DONE;

	/**
	 * Returns whether the request is a reservation whose body has not been accepted yet.
	 * @return whether the body is still expected
	 */
	boolean awaitsBody() {
		return this == QUEUED || this == GRANTED;
	}

	/**
	 * Returns whether the body was accepted and the request has not finished.
	 * @return whether the request is in flight
	 */
	boolean isInFlight() {
		return this == CLAIMING || this == RUNNING || this == PREEMPTED;
	}

}
