package org.marjoramgw.testkit;

import java.util.Random;

/**
 * Seed of the random sequences of a test run, from the system property {@code test.seed}.
 *
 * @author The marjoramgw authors
 */
public final class TestSeed {

	private static final String PROPERTY = "test.seed";

	private static final long DEFAULT = 20_261_204L;

	private TestSeed() {
	}

	/**
	 * Returns the seed; a test names it in the message of each failure.
	 * @return the seed
	 */
	public static long value() {
		return Long.getLong(PROPERTY, DEFAULT);
	}

	/**
	 * Creates the random source of one case.
	 * @param caseNumber number of the case within the test
	 * @return a source that depends on the seed and the case alone
	 */
	public static Random random(int caseNumber) {
		return new Random(value() * 31 + caseNumber);
	}

}
