package org.marjoramgw.rig;

/**
 * Pause between two polls of the state of a process.
 *
 * @author The marjoramgw authors
 */
final class Polling {

	private static final long POLL_MILLIS = 50;

	private Polling() {
	}

	/**
	 * Waits for one poll interval.
	 * @throws RigException if the thread is interrupted
	 */
	static void pause() throws RigException {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RigException("interrupted", ex);
		}
	}

}
