package org.marjoramgw.policy.preemption;

import org.marjoramgw.policy.queue.RequestKey;

/**
 * Request that holds a slot, as far as preemption is concerned.
 *
 * @param key its identity
 * @param requestClass name of its class
 * @param tier service tier
 * @param contextTokens tokens that would have to be processed again to resume it
 * @param preemptedCount how often it was preempted already
 * @author The marjoramgw authors
 */
public record RunningRequest(RequestKey key, String requestClass, int tier, long contextTokens, int preemptedCount) {
}
