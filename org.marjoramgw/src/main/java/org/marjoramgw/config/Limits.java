package org.marjoramgw.config;

/**
 * Bounds and dispatch parameters that are the same in every process.
 *
 * @param bodyBytes bound of a request body, in bytes
 * @param selector how an entry picks candidates: {@code late-binding}, {@code random},
 * {@code least-loaded} or {@code power-of-two}
 * @param candidateCount candidates that get a reservation under late binding
 * @param grantTimeoutMillis how long a granted slot waits for its body, in milliseconds
 * @param queueOrder order of a side process's queue: {@code tiers} or {@code fcfs}
 * @param slotCount greatest number of requests in flight at a model engine
 * @param plainSlotCount greatest number of requests in flight at a plain service
 * @param minSlotCount least value of the adaptive slot limit
 * @param headroomSlotCount slots kept free for the top tier
 * @param preemption whether a lower-tier stream may be preempted
 * @param retryPercent retries allowed, as a share of the requests of a class, in percent
 * @param subsetCount side processes of one pool that an entry connects to
 * @author The marjoramgw authors
 */
public record Limits(int bodyBytes, String selector, int candidateCount, long grantTimeoutMillis, String queueOrder,
		int slotCount, int plainSlotCount, int minSlotCount, int headroomSlotCount, boolean preemption,
		int retryPercent, int subsetCount) {
}
