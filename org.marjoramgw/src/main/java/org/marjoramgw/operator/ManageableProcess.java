package org.marjoramgw.operator;

import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;

/**
 * Process that reports its status to operators and can be drained by them.
 *
 * @author The marjoramgw authors
 */
public interface ManageableProcess {

	/**
	 * Returns the identity of the process.
	 * @return the identity
	 */
	PeerIdentity identity();

	/**
	 * Returns the current status of the process.
	 * @return the status
	 */
	PeerStatus status();

	/**
	 * Returns whether the process is ready to serve requests.
	 * @return whether a configuration is in force
	 */
	default boolean isReady() {
		return status().configRevision() > 0;
	}

	/**
	 * Starts a graceful shutdown: the process accepts no new requests, finishes those in
	 * flight, then exits.
	 */
	void drain();

}
