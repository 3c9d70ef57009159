package org.marjoramgw.direct.backend;

import java.util.Optional;

/**
 * What a request to a backend server says in the name of this process.
 *
 * @param serverId the only backend server that may run it
 * @param remainingMillis how long the caller still waits, in milliseconds
 * @param accountName client account of the caller, or empty
 * @param rank rank of the request, 0 is the most urgent
 * @author The marjoramgw authors
 */
public record ForwardingMetadata(String serverId, long remainingMillis, Optional<String> accountName, int rank) {
}
