package org.marjoramgw.program;

import java.util.concurrent.TimeUnit;

/**
 * Pause of a thread that has nothing else to do meanwhile.
 *
 * @author The marjoramgw authors
 */
public final class Pause {

	private Pause() {
	}

	/**
	 * Waits; an interrupt ends the wait and stays set.
	 * @param millis how long, in milliseconds
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
