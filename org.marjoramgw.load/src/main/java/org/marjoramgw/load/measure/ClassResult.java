package org.marjoramgw.load.measure;

/**
 * Measures of one request class.
 *
 * @param name name of the request class
 * @param tier its tier
 * @param requests number of requests that arrived
 * @param attained number of requests with a complete response that met every target
 * @param late number of requests with a complete response that missed a target
 * @param refused number of requests that were refused without being run
 * @param failed number of requests that ended in any other way or did not end
 * @param attainmentPercent share of requests that met every target, in percent
 * @param worstWindowPercent lowest attainment in a window that counts, in percent
 * @param worstWindowStartMillis start of that window, in milliseconds
 * @param firstToken time to the first token; time to the complete response for a plain
 * call
 * @param gap gaps between successive tokens
 * @param completion time to the end of complete responses
 * @param slotTimePercent share of the engines' slot time, in percent; -1 for a class of
 * plain calls
 * @param floorWindowPercent lowest share of slot time in a window in which the class had
 * enough open requests to use its floor, in percent; -1 if there was no such window
 * @param floorPercent the floor of the class, in percent
 * @author The marjoramgw authors
 */
public record ClassResult(String name, int tier, long requests, long attained, long late, long refused, long failed,
		double attainmentPercent, double worstWindowPercent, long worstWindowStartMillis, Percentiles firstToken,
		Percentiles gap, Percentiles completion, double slotTimePercent, double floorWindowPercent, int floorPercent) {
}
