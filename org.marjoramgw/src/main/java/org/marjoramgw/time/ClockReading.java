package org.marjoramgw.time;

/**
 * Point in time by two clocks.
 *
 * @param monotonicMillis reading of the monotonic clock, in milliseconds
 * @param wallClockMillis time of day, in milliseconds since the Unix epoch
 * @author The marjoramgw authors
 */
public record ClockReading(long monotonicMillis, long wallClockMillis) {
}
