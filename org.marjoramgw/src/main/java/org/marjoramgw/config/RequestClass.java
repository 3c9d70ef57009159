package org.marjoramgw.config;

/**
 * Class of requests with common targets.
 *
 * @param name name of the class
 * @param tier service tier, 1 is the highest
 * @param firstTokenMillis target for the first token, in milliseconds
 * @param tokenGapMillis target for the gap between tokens, in milliseconds
 * @param completionMillis target for the whole answer, and its deadline, in milliseconds
 * @param floorPercent least share of slot-time while it has work, in percent
 * @param queueBound bound of its queue at one side process, in reservations
 * @author The marjoramgw authors
 */
public record RequestClass(String name, int tier, long firstTokenMillis, long tokenGapMillis, long completionMillis,
		int floorPercent, int queueBound) {
}
