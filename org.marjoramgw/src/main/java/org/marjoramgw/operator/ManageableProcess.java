package org.marjoramgw.operator;

import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;

/**
 * Process as operators see it.
 *
 * @author The marjoramgw authors
 */
public interface ManageableProcess {

	/**
	 * Returns who the process is.
	 * @return its identity
	 */
	PeerIdentity identity();

	/**
	 * Returns what the process does now.
	 * @return its status
	 */
	PeerStatus status();

	/**
	 * Tells whether the process can serve.
	 * @return whether a configuration is in force
	 */
	default boolean isReady() {
		return status().configRevision() > 0;
	}

	/**
	 * Starts a graceful stop: takes no new work, finishes what is in flight, then exits.
	 */
	void drain();

}
