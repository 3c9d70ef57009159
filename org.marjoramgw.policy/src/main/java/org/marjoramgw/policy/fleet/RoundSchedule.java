package org.marjoramgw.policy.fleet;

/**
 * Times and sizes of the digests that are sent, so that they keep a budget of bytes per
 * second. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class RoundSchedule {

	/** Maximum size of a digest, which fits into one packet of any network. */
	public static final int MAX_DIGEST_BYTES = 1_200;

	/** Headers of IP and UDP of one datagram. */
	static final int HEADER_BYTES = 28;

	/** Budget for the datagrams sent, headers included. */
	static final int BYTES_PER_SECOND = 10_000;

	/** Time from one round to the next while the budget suffices. */
	static final long MIN_INTERVAL_MILLIS = 250;

	/**
	 * Longest time from one round to the next. Digests are kept so small that the budget
	 * suffices for it; rows that don't fit wait for the next round.
	 */
	static final long MAX_INTERVAL_MILLIS = 500;

	/** Interval at which rows that didn't change are sent as well. */
	static final long COMPLETE_INTERVAL_MILLIS = 2_000;

	private static final long MILLIS_PER_SECOND = 1_000;

	private long completeMillis;

	private boolean completeRequested = true;

	/**
	 * Returns the maximum size of the digest of a round.
	 * @param targetCount number of peers that get it
	 * @return size in bytes, without headers
	 */
	public int maxDigestBytes(int targetCount) {
		long roundBytes = BYTES_PER_SECOND * MAX_INTERVAL_MILLIS / MILLIS_PER_SECOND;
		return (int) Math.min(MAX_DIGEST_BYTES, roundBytes / Math.max(1, targetCount) - HEADER_BYTES);
	}

	/**
	 * Returns the time from a round to the next one.
	 * @param targetCount number of peers that got the digest of the round
	 * @param digestBytes its size, without headers
	 * @return time in milliseconds
	 */
	public long delayMillis(int targetCount, int digestBytes) {
		long sentBytes = (long) targetCount * (digestBytes + HEADER_BYTES);
		long budgetMillis = (sentBytes * MILLIS_PER_SECOND + BYTES_PER_SECOND - 1) / BYTES_PER_SECOND;
		return Math.max(MIN_INTERVAL_MILLIS, budgetMillis);
	}

	/**
	 * Requests that the rows that didn't change are sent soon, since a peer lacks them.
	 */
	public void requestComplete() {
		this.completeRequested = true;
	}

	/**
	 * Tells whether the rows that didn't change are due, and then counts them as sent.
	 * @param nowMillis present time
	 * @return whether they are due
	 */
	public boolean takeComplete(long nowMillis) {
		if (!this.completeRequested && nowMillis - this.completeMillis < COMPLETE_INTERVAL_MILLIS) {
			return false;
		}
		this.completeRequested = false;
		this.completeMillis = nowMillis;
		return true;
	}

}
