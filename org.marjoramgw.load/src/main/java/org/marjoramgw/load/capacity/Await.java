package org.marjoramgw.load.capacity;

import java.util.function.BooleanSupplier;

import org.marjoramgw.rig.RigException;

/**
 * Waits for conditions with a timeout.
 *
 * @author The marjoramgw authors
 */
final class Await {

	private static final long TIMEOUT_MILLIS = 30_000;

	private static final long POLL_MILLIS = 5;

	private static final double NANOS_PER_MILLI = 1e6;

	private Await() {
	}

	/**
	 * Polls a condition until it is true.
	 * @param condition the condition
	 * @param what description of the condition, for the error message
	 * @return time waited, in milliseconds
	 * @throws RigException if the condition doesn't become true within the timeout
	 * @throws InterruptedException if the thread is interrupted
	 */
	static double until(BooleanSupplier condition, String what) throws RigException, InterruptedException {
		long startNanos = System.nanoTime();
		while (!condition.getAsBoolean()) {
			if (millisSince(startNanos) > TIMEOUT_MILLIS) {
				throw new RigException("timed out waiting for " + what, null);
			}
			Thread.sleep(POLL_MILLIS);
		}
		return millisSince(startNanos);
	}

	private static double millisSince(long startNanos) {
		return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
	}

}
