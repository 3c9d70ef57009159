package org.marjoramgw.policy.preemption;

import org.marjoramgw.policy.queue.RequestKey;

/**
 * Request that holds a slot, as seen by preemption.
 *
 * @param key identity of the attempt
 * @param requestClass name of its class
 * @param tier service tier
 * @param contextTokens tokens that have to be recomputed to resume it
 * @param preemptedCount number of times that it was preempted
 * @author The marjoramgw authors
 */
public record RunningRequest(RequestKey key, String requestClass, int tier, long contextTokens, int preemptedCount) {
}
