package org.marjoramgw.policy.fleet;

import java.net.InetSocketAddress;

/**
 * Entry process as the list of all processes names it.
 *
 * @param processId id of the process
 * @param incarnation start of the process in milliseconds since the Unix epoch
 * @param address address on which it receives digests
 * @author The marjoramgw authors
 */
public record PeerListing(String processId, long incarnation, InetSocketAddress address) {
}
