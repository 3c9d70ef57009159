package org.marjoramgw.time;

/**
 * Point in time by two clocks.
 *
 * @param steadyMillis reading of the monotonic clock, in milliseconds
 * @param dayMillis time of day, in milliseconds since the Unix epoch
 * @author The marjoramgw authors
 */
public record Moment(long steadyMillis, long dayMillis) {
}
