package org.marjoramgw.side.scheduler;

/**
 * What the scheduler takes from the settings.
 *
 * @param processId id of this process
 * @param pool pool of backend servers that this process serves
 * @param model whether the backend server is a model engine
 * @param responseRetentionMillis time that answers are kept for an entry that is gone, in
 * milliseconds
 * @author The marjoramgw authors
 */
public record SchedulerParameters(String processId, String pool, boolean model, long responseRetentionMillis) {
}
