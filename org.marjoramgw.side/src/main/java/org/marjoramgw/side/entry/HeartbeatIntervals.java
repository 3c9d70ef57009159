package org.marjoramgw.side.entry;

/**
 * Heartbeat interval and timeouts of connections from entries.
 *
 * @param heartbeatMillis interval between heartbeats on a busy connection, in
 * milliseconds
 * @param timeoutMillis time without a message after which a busy connection is closed, in
 * milliseconds
 * @param idleTimeoutMillis time without a message after which an idle connection is
 * closed, in milliseconds
 * @author The marjoramgw authors
 */
public record HeartbeatIntervals(long heartbeatMillis, long timeoutMillis, long idleTimeoutMillis) {
}
