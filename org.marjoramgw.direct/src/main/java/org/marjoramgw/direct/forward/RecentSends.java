package org.marjoramgw.direct.forward;

/**
 * The latest requests that were sent to servers, by which each request knows whether less
 * urgent ones went before it; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class RecentSends {

	/** Number of requests that are remembered. */
	private static final int CAPACITY = 512;

	private final long[] sentMillis = new long[CAPACITY];

	private final int[] ranks = new int[CAPACITY];

	private long count;

	/**
	 * Records a request that is sent, and counts the less urgent ones that were sent
	 * while it waited.
	 * @param rank rank of the request; 0 is the most urgent
	 * @param arrivedMillis when it arrived by the monotonic clock, in milliseconds
	 * @param nowMillis present time by the monotonic clock, in milliseconds
	 * @return number of requests, at most as many as are remembered
	 */
	synchronized int onSend(int rank, long arrivedMillis, long nowMillis) {
		int overtaking = 0;
		long oldest = Math.max(0, this.count - CAPACITY);
		for (long number = this.count - 1; number >= oldest; number--) {
			int index = (int) (number % CAPACITY);
			if (this.sentMillis[index] < arrivedMillis) {
				break;
			}
			if (this.ranks[index] > rank) {
				overtaking++;
			}
		}
		int index = (int) (this.count++ % CAPACITY);
		this.sentMillis[index] = nowMillis;
		this.ranks[index] = rank;
		return overtaking;
	}

}
