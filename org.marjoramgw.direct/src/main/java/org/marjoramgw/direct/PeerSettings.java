package org.marjoramgw.direct;

import java.util.Optional;

import org.marjoramgw.HostPort;

/**
 * Validated settings of the exchange with other entry processes.
 *
 * @param address address on which digests of peers are received, or empty if this process
 * has none
 * @param shared whether the servers of a service are a pool whose load the entry
 * processes share
 * @author The marjoramgw authors
 */
public record PeerSettings(Optional<HostPort> address, boolean shared) {

	/**
	 * Tells whether digests are exchanged.
	 * @return whether they are
	 */
	public boolean isEnabled() {
		return this.shared && this.address.isPresent();
	}

}
