package org.marjoramgw.policy.slot;

import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;

/**
 * Slot that moves from a preempted stream to a request of a higher tier.
 *
 * @param preempted the stream that lost the slot and waits again
 * @param granted the request that has it now
 * @author The marjoramgw authors
 */
public record Preemption(RequestKey preempted, WaitingRequest granted) {
}
