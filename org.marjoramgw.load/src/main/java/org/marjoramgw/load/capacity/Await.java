package org.marjoramgw.load.capacity;

import java.util.function.BooleanSupplier;

import org.marjoramgw.rig.RigException;

/**
 * Bounded wait for a condition.
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
	 * Waits.
	 * @param condition the condition
	 * @param what what is waited for, for the error
	 * @return how long it took, in milliseconds
	 * @throws RigException if it doesn't come true in time
	 * @throws InterruptedException if the thread is interrupted
	 */
	static double until(BooleanSupplier condition, String what) throws RigException, InterruptedException {
		long startNanos = System.nanoTime();
		while (!condition.getAsBoolean()) {
			if (millisSince(startNanos) > TIMEOUT_MILLIS) {
				throw new RigException("waited too long for " + what, null);
			}
			Thread.sleep(POLL_MILLIS);
		}
		return millisSince(startNanos);
	}

	private static double millisSince(long startNanos) {
		return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
	}

}
