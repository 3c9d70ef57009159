package org.marjoramgw.direct;

import java.util.Optional;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;

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

	/** Feature of a deployment in which entry processes share the load of its servers. */
	private static final String POOL_FEATURE = "pool";

	static PeerSettings of(TomlTable root) {
		return new PeerSettings(Optional.ofNullable(root.address("peer_address", null)),
				root.texts("features").contains(POOL_FEATURE));
	}

	/**
	 * Tells whether digests are exchanged.
	 * @return whether they are
	 */
	public boolean isEnabled() {
		return this.shared && this.address.isPresent();
	}

}
