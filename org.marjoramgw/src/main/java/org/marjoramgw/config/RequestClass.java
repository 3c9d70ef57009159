package org.marjoramgw.config;

/**
 * Class of requests that share a tier and latency targets.
 *
 * @param name name of the class
 * @param tier service tier, 1 is the highest
 * @param firstTokenMillis target for the time to the first token, in milliseconds
 * @param tokenGapMillis target for the time between tokens, in milliseconds
 * @param completionMillis target and deadline for the complete response, in milliseconds
 * @param floorPercent minimum share of slot-time while the class has work, in percent
 * @param queueBound maximum length of the queue at a side process, in reservations
 * @author The marjoramgw authors
 */
public record RequestClass(String name, int tier, long firstTokenMillis, long tokenGapMillis, long completionMillis,
		int floorPercent, int queueBound) {
}
