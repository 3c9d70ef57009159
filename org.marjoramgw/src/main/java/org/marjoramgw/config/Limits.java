package org.marjoramgw.config;

/**
 * Limits and dispatch parameters that are the same in every process.
 *
 * @param bodyBytes maximum size of a request body, in bytes
 * @param selector how an entry process selects candidates: {@code late-binding},
 * {@code random}, {@code least-loaded} or {@code power-of-two}
 * @param candidateCount number of candidates that get a reservation under late binding
 * @param grantTimeoutMillis how long a granted slot waits for the request body, in
 * milliseconds
 * @param queueOrder order of a side process's queue: {@code tiers} or {@code fcfs}
 * @param slotCount maximum number of requests in flight at a model engine
 * @param plainSlotCount maximum number of requests in flight at a plain service
 * @param minSlotCount minimum of the adaptive slot limit
 * @param headroomSlotCount number of slots reserved for the highest tier
 * @param preemption whether a lower-tier stream may be preempted
 * @param retryPercent maximum retries as a percentage of the requests of a class
 * @param subsetCount number of side processes of a pool that an entry process connects to
 * @author The marjoramgw authors
 */
public record Limits(int bodyBytes, String selector, int candidateCount, long grantTimeoutMillis, String queueOrder,
		int slotCount, int plainSlotCount, int minSlotCount, int headroomSlotCount, boolean preemption,
		int retryPercent, int subsetCount) {
}
