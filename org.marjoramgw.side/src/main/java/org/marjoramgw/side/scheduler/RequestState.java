package org.marjoramgw.side.scheduler;

/**
 * State of a request at this process.
 *
 * @author The marjoramgw authors
 */
enum RequestState {

	/** Waits for a slot. */
	QUEUED,

	/** Holds a slot and waits for its body. */
	GRANTED,

	/** Holds a slot and waits for the claim of its key. */
	CLAIMING,

	/** Runs at the backend server. */
	RUNNING,

	/** Lost its slot to a higher tier and waits to go on. */
	PREEMPTED,

	/** Is over; its answer is kept for the entry. */
	DONE;

	/**
	 * Tells whether it is a reservation whose body is still to come.
	 * @return whether nothing of the request was accepted yet
	 */
	boolean awaitsBody() {
		return this == QUEUED || this == GRANTED;
	}

	/**
	 * Tells whether a body was accepted and its end is still to come.
	 * @return whether the request is in flight
	 */
	boolean isInFlight() {
		return this == CLAIMING || this == RUNNING || this == PREEMPTED;
	}

}
