package org.marjoramgw.side.scheduler;

/**
 * Parameters of the scheduler.
 *
 * @param processId id of this process
 * @param pool pool of backend servers that this process serves
 * @param model whether the backend server is a model engine
 * @param responseRetentionMillis time that responses are retained for a disconnected
 * entry, in milliseconds
 * @author The marjoramgw authors
 */
public record SchedulerParameters(String processId, String pool, boolean model, long responseRetentionMillis) {
}
