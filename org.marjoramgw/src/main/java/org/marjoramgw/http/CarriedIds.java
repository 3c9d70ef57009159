package org.marjoramgw.http;

import java.util.Arrays;

/**
 * Ids of the requests that a connection has carried, by their hash codes; not
 * thread-safe. Another id with the same hash code counts as carried too.
 *
 * @author The marjoramgw authors
 */
final class CarriedIds {

	/** Number of ids, after which a connection carries no further request. */
	static final int MAX_COUNT = 1_024;

	private static final int INITIAL_COUNT = 4;

	private int[] hashCodes = new int[INITIAL_COUNT];

	private int count;

	/**
	 * Adds the id of a request.
	 * @param id the id; empty for a request without one
	 */
	void add(String id) {
		if (id.isEmpty()) {
			return;
		}
		if (this.count == this.hashCodes.length) {
			this.hashCodes = Arrays.copyOf(this.hashCodes, 2 * this.count);
		}
		this.hashCodes[this.count] = id.hashCode();
		this.count++;
	}

	/**
	 * Tells whether a request with an id may be carried.
	 * @param id the id; empty for a request without one
	 * @return whether there is room and no request had the id
	 */
	boolean mayAdd(String id) {
		if (id.isEmpty()) {
			return true;
		}
		for (int index = 0; index < this.count; index++) {
			if (this.hashCodes[index] == id.hashCode()) {
				return false;
			}
		}
		return this.count < MAX_COUNT;
	}

}
