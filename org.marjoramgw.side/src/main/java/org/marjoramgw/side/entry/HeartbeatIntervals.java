package org.marjoramgw.side.entry;

/**
 * Times of the heartbeats.
 *
 * @param heartbeatMillis time between heartbeats while there is work, in milliseconds
 * @param timeoutMillis silence after which a busy peer is dropped, in milliseconds
 * @param idleTimeoutMillis silence after which an idle peer is dropped, in milliseconds
 * @author The marjoramgw authors
 */
public record HeartbeatIntervals(long heartbeatMillis, long timeoutMillis, long idleTimeoutMillis) {
}
