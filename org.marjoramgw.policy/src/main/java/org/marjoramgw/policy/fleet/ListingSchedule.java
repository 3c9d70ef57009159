package org.marjoramgw.policy.fleet;

/**
 * Times at which the list of all processes is read again. Each read is a call to the
 * store and costs as much as hundreds of digests. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class ListingSchedule {

	/** Interval of the reads while peers are heard. */
	static final long INTERVAL_MILLIS = 60_000;

	/**
	 * Time without any peer after which the list is read again. Doubled after each such
	 * read, since a process may be the only one.
	 */
	static final long LONELY_MILLIS = 10_000;

	private long readMillis;

	private long heardMillis;

	private long lonelyMillis = LONELY_MILLIS;

	/**
	 * Creates a schedule.
	 * @param nowMillis time of the first read
	 */
	public ListingSchedule(long nowMillis) {
		this.readMillis = nowMillis;
		this.heardMillis = nowMillis;
	}

	/**
	 * Records that peers are heard.
	 * @param nowMillis present time
	 */
	public void onHeard(long nowMillis) {
		this.heardMillis = nowMillis;
		this.lonelyMillis = LONELY_MILLIS;
	}

	/**
	 * Tells whether a read is due, and then counts it as made.
	 * @param nowMillis present time
	 * @return whether it is due
	 */
	public boolean takeDue(long nowMillis) {
		long sinceRead = nowMillis - this.readMillis;
		boolean lonely = nowMillis - this.heardMillis >= LONELY_MILLIS && sinceRead >= this.lonelyMillis;
		if (!lonely && sinceRead < INTERVAL_MILLIS) {
			return false;
		}
		if (lonely) {
			this.lonelyMillis = Math.min(INTERVAL_MILLIS, this.lonelyMillis * 2);
		}
		this.readMillis = nowMillis;
		return true;
	}

}
