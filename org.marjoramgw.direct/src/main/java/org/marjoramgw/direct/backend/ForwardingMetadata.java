package org.marjoramgw.direct.backend;

import java.util.Optional;

/**
 * Metadata that this process adds to a forwarded request.
 *
 * @param serverId id of the only backend server that may run the request
 * @param remainingMillis time left until the caller's deadline, in milliseconds
 * @param accountName client account of the caller, or empty
 * @param rank rank of the request; 0 is the most urgent
 * @param lastEventId id of the event after which the server continues a stream, or empty
 * to leave this to the caller's request
 * @author The marjoramgw authors
 */
public record ForwardingMetadata(String serverId, long remainingMillis, Optional<String> accountName, int rank,
		Optional<String> lastEventId) {
}
