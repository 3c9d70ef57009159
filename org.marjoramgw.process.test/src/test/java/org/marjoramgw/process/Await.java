package org.marjoramgw.process;

import java.util.concurrent.Callable;

import org.testng.Assert;

/**
 * Polls a condition until it holds, and fails the test after a timeout.
 *
 * @author The marjoramgw authors
 */
final class Await {

	/** Timeout of conditions without a specified limit, in milliseconds. */
	static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

	private static final long POLL_INTERVAL_MILLIS = 20;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private Await() {
	}

	static void until(String description, Callable<Boolean> condition) throws Exception {
		until(description, DEFAULT_TIMEOUT_MILLIS, condition);
	}

	static void until(String description, long timeoutMillis, Callable<Boolean> condition) throws Exception {
		long deadlineNanos = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI;
		while (!condition.call()) {
			Assert.assertTrue(System.nanoTime() < deadlineNanos, "timed out waiting until " + description);
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
	}

}
