package org.marjoramgw.side.backend;

import org.marjoramgw.wire.BackendCall;

/**
 * Call to run at the backend server.
 *
 * @param executionId id of this execution at the backend server
 * @param requestId id of the request
 * @param tier service tier, 1 is the highest
 * @param call the caller's call
 * @param continueFrom text that the caller already has, or an empty text
 * @author The marjoramgw authors
 */
public record BackendRequest(String executionId, String requestId, int tier, BackendCall call, String continueFrom) {
}
