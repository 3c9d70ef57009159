package org.marjoramgw.load.measure;

/**
 * Measures of one request class.
 *
 * @param name name of the class
 * @param tier its tier
 * @param requests requests that arrived
 * @param attained requests that were answered whole and within every target
 * @param late requests that were answered whole, but not within every target
 * @param refused requests that were refused as not run
 * @param failed requests that ended in any other way, or not at all
 * @param attainmentPercent share of attained requests, in percent
 * @param worstWindowPercent least share of attained requests in one window, in percent
 * @param worstWindowStartMillis start of that window, in milliseconds
 * @param firstToken time to the first token; of the whole answer for a plain call
 * @param gap gaps between tokens
 * @param completion time to the end of whole answers
 * @param slotTimePercent share of the engines' slot-time, in percent; -1 for a plain
 * class
 * @param floorWindowPercent least share of slot-time in a window in which the class had
 * work for its floor, in percent; -1 if there was no such window
 * @param floorPercent the floor of the class, in percent
 * @author The marjoramgw authors
 */
public record ClassResult(String name, int tier, long requests, long attained, long late, long refused, long failed,
		double attainmentPercent, double worstWindowPercent, long worstWindowStartMillis, Percentiles firstToken,
		Percentiles gap, Percentiles completion, double slotTimePercent, double floorWindowPercent, int floorPercent) {
}
