package org.marjoramgw.policy.fleet;

import java.net.InetSocketAddress;

/**
 * Receiver of the changes of single peers.
 *
 * @author The marjoramgw authors
 */
public interface MembershipListener {

	/**
	 * Called when the digests of a peer begin to arrive.
	 * @param processId id of the peer
	 * @param incarnation its incarnation
	 * @param address its address
	 */
	void onJoined(String processId, long incarnation, InetSocketAddress address);

	/**
	 * Called when a peer goes on with a new incarnation.
	 * @param processId id of the peer
	 * @param incarnation its new incarnation
	 * @param address its address
	 */
	void onRestarted(String processId, long incarnation, InetSocketAddress address);

	/**
	 * Called when the digests of a peer no longer arrive.
	 * @param processId id of the peer
	 */
	void onExpired(String processId);

}
