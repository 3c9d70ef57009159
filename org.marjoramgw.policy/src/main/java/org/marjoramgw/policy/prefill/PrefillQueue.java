package org.marjoramgw.policy.prefill;

/**
 * Queue for the permits of a server as one request would find it.
 *
 * @param admits whether the request would be admitted at once
 * @param inFlightCount number of prompts in prefill
 * @param waitingCount number of prompts that wait for a permit
 * @param beforeCount number of those that would be admitted before the request
 * @author The marjoramgw authors
 */
public record PrefillQueue(boolean admits, int inFlightCount, int waitingCount, int beforeCount) {
}
