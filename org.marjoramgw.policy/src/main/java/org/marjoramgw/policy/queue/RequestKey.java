package org.marjoramgw.policy.queue;

/**
 * Identity of one attempt of a request.
 *
 * @param entryId process id of the entry
 * @param incarnation incarnation of the entry
 * @param requestId id of the request
 * @param attempt attempt number, from 1
 * @author The marjoramgw authors
 */
public record RequestKey(String entryId, long incarnation, String requestId, int attempt) {
}
