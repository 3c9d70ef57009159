package org.marjoramgw.program;

import java.util.concurrent.TimeUnit;

/**
 * Sleeps of the current thread without a checked exception.
 *
 * @author The marjoramgw authors
 */
public final class Pause {

	private Pause() {
	}

	/**
	 * Sleeps for a time. An interrupt ends the sleep early and leaves the thread's
	 * interrupt status set.
	 * @param millis how long to sleep, in milliseconds
	 */
	public static void millis(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
