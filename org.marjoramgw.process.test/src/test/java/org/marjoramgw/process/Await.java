package org.marjoramgw.process;

import java.util.concurrent.Callable;

import org.testng.Assert;

/**
 * Waiting for a condition with a generous deadline.
 *
 * @author The marjoramgw authors
 */
final class Await {

	/** Deadline of what has no bound of its own, in milliseconds. */
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
			Assert.assertTrue(System.nanoTime() < deadlineNanos, "not in time: " + description);
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
	}

}
