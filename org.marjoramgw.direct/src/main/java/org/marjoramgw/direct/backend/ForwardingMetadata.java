package org.marjoramgw.direct.backend;

import java.util.Optional;

/**
 * Metadata that this process adds to a forwarded request.
 *
 * @param serverId id of the only backend server that may run the request
 * @param remainingMillis time left until the caller's deadline, in milliseconds
 * @param accountName client account of the caller, or empty
 * @param rank rank of the request; 0 is the most urgent
 * @author The marjoramgw authors
 */
public record ForwardingMetadata(String serverId, long remainingMillis, Optional<String> accountName, int rank) {
}
