package org.marjoramgw.time;

/**
 * Simultaneous reading of a monotonic clock and a wall clock.
 *
 * @param monotonicMillis reading of the monotonic clock, in milliseconds
 * @param wallClockMillis reading of the wall clock, in milliseconds since the Unix epoch
 * @author The marjoramgw authors
 */
public record ClockReading(long monotonicMillis, long wallClockMillis) {
}
