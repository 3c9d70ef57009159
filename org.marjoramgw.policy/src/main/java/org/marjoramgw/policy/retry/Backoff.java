package org.marjoramgw.policy.retry;

import java.util.Random;

/**
 * Exponential backoff with jitter.
 *
 * @author The marjoramgw authors
 */
public final class Backoff {

	private static final int MAX_DOUBLINGS = 16;

	private final long baseMillis;

	private final long maxMillis;

	private final Random random;

	/**
	 * Creates a backoff.
	 * @param baseMillis maximum delay before the first retry, in milliseconds
	 * @param maxMillis maximum delay before any retry, in milliseconds
	 * @param random source of the jitter
	 */
	public Backoff(long baseMillis, long maxMillis, Random random) {
		this.baseMillis = baseMillis;
		this.maxMillis = maxMillis;
		this.random = random;
	}

	/**
	 * Returns a random delay.
	 * @param retry number of the retry, starting at 1
	 * @return a delay between half of the bound for this retry and the bound, in
	 * milliseconds
	 */
	public long delayMillis(int retry) {
		long bound = Math.min(this.maxMillis, this.baseMillis << Math.min(retry - 1, MAX_DOUBLINGS));
		return bound / 2 + (long) (this.random.nextDouble() * (bound - bound / 2));
	}

}
