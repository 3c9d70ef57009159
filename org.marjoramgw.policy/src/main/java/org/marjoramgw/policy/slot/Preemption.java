package org.marjoramgw.policy.slot;

import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;

/**
 * Preemption of a stream in favor of a request of a higher tier.
 *
 * @param preempted the stream that lost its slot and waits again
 * @param granted the request that holds the slot now
 * @author The marjoramgw authors
 */
public record Preemption(RequestKey preempted, WaitingRequest granted) {
}
