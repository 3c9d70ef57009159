package org.marjoramgw.policy.slot;

/**
 * Limit on the requests in flight at one backend server.
 *
 * @author The marjoramgw authors
 */
public interface SlotLimit {

	/**
	 * Returns the current limit.
	 * @return number of slots, at least 1
	 */
	int slots();

	/**
	 * Records the mean gap between the tokens of one stream since its previous record.
	 * @param gapMillis mean gap, in milliseconds
	 * @param targetMillis target of its class for the gap, in milliseconds, greater than
	 * 0
	 */
	void observeTokenGap(double gapMillis, long targetMillis);

	/**
	 * Adjusts the limit at the end of a period.
	 * @param inFlight number of slots that are taken
	 * @return the new limit
	 */
	int adjust(int inFlight);

}
