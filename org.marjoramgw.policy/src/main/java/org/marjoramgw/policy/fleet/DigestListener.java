package org.marjoramgw.policy.fleet;

import java.util.Set;

/**
 * Receiver of the digests of peers.
 *
 * @author The marjoramgw authors
 */
public interface DigestListener {

	/**
	 * Called for each digest of a known peer, in order and from its newest incarnation
	 * only.
	 * @param digest the digest
	 */
	void onDigest(Digest digest);

	/**
	 * Called when the set of peers changes.
	 * @param heardIds ids of the processes whose digests arrive
	 * @param memberIds ids of all processes of the deployment, this one included
	 */
	void onMembers(Set<String> heardIds, Set<String> memberIds);

}
