package org.marjoramgw.testkit;

import java.util.Random;

/**
 * Seed of the random sequences in a test run, from the system property {@code test.seed}.
 *
 * @author The marjoramgw authors
 */
public final class TestSeed {

	private static final String PROPERTY = "test.seed";

	private static final long DEFAULT = 20_261_204L;

	private TestSeed() {
	}

	/**
	 * Returns the seed. Tests include it in their failure messages, so that a failed run
	 * can be reproduced.
	 * @return the seed
	 */
	public static long value() {
		return Long.getLong(PROPERTY, DEFAULT);
	}

	/**
	 * Creates the random generator of one test case.
	 * @param caseNumber number of the case within the test
	 * @return generator that depends only on the seed and the case number
	 */
	public static Random random(int caseNumber) {
		return new Random(value() * 31 + caseNumber);
	}

}
