package org.marjoramgw.policy.stream;

import java.util.Optional;

/**
 * Where a stream began.
 *
 * @param service name of the service
 * @param version software version of the server that brought its first event, or empty if
 * it isn't known for certain, so that the stream goes on nowhere
 * @author The marjoramgw authors
 */
public record StreamOrigin(String service, Optional<String> version) {

	/**
	 * Tells whether the stream may go on at servers of a version.
	 * @param serverVersion software version of the servers, which are of this service
	 * @return whether it may
	 */
	public boolean mayGoOnAt(String serverVersion) {
		return this.version.filter(serverVersion::equals).isPresent();
	}

}
