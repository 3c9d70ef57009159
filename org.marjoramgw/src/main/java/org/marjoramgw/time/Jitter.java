package org.marjoramgw.time;

import java.util.Random;

/**
 * Randomizes intervals, so that processes don't act at the same time.
 *
 * @author The marjoramgw authors
 */
public final class Jitter {

	private final Random random;

	/**
	 * Creates a jitter.
	 * @param random source of randomness
	 */
	public Jitter(Random random) {
		this.random = random;
	}

	/**
	 * Returns a random interval.
	 * @param meanMillis mean interval, in milliseconds
	 * @return an interval from half the mean to one and a half times the mean, in
	 * milliseconds
	 */
	public long aroundMillis(long meanMillis) {
		return meanMillis / 2 + (long) (this.random.nextDouble() * meanMillis);
	}

}
