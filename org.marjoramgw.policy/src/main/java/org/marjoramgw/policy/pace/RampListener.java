package org.marjoramgw.policy.pace;

import java.util.function.DoubleSupplier;

/**
 * Receiver of the beginning and end of the ramps of backend servers.
 *
 * @author The marjoramgw authors
 */
public interface RampListener {

	/** Listener that ignores everything. */
	RampListener NONE = new RampListener() {

		@Override
		public void onRampStarted(int serverKey, String name, String reason, DoubleSupplier share) {
		}

		@Override
		public void onRampEnded(int serverKey, String name, String reason, long tookMillis) {
		}

	};

	/**
	 * Called when a ramp starts.
	 * @param serverKey key of the server
	 * @param name name of the server
	 * @param reason why
	 * @param share returns its present share of the prompts, 1 after the end
	 */
	void onRampStarted(int serverKey, String name, String reason, DoubleSupplier share);

	/**
	 * Called when a ramp ends.
	 * @param serverKey key of the server
	 * @param name name of the server
	 * @param reason why
	 * @param tookMillis how long it took, in milliseconds
	 */
	void onRampEnded(int serverKey, String name, String reason, long tookMillis);

}
