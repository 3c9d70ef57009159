package org.marjoramgw.policy.slot;

/**
 * Limit of the requests in flight at one backend server.
 *
 * @author The marjoramgw authors
 */
public interface SlotLimit {

	/**
	 * Returns the present limit.
	 * @return requests, at least 1
	 */
	int slots();

	/**
	 * Records the mean gap between the tokens of one stream since the last note.
	 * @param gapMillis the measured gap, in milliseconds
	 * @param targetMillis the target of its class, in milliseconds, greater than 0
	 */
	void observeTokenGap(double gapMillis, long targetMillis);

	/**
	 * Adjusts the limit at the end of a period.
	 * @param inFlight slots that are taken
	 * @return the new limit
	 */
	int adjust(int inFlight);

}
