package org.marjoramgw.policy.pace;

/**
 * Measurement of the pace of a server by some consecutive events of one stream.
 *
 * @param eventsPerSecond events in a second while no other prompt was prefilled
 * @param longPauseMillis a long pause between two of the events, in milliseconds
 * @author The marjoramgw authors
 */
public record PaceMeasurement(double eventsPerSecond, int longPauseMillis) {
}
