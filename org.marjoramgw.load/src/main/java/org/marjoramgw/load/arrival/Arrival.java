package org.marjoramgw.load.arrival;

import org.marjoramgw.load.experiment.RequestClassLoad;

/**
 * Request that arrives at a given time, whatever became of earlier ones.
 *
 * @param offsetMillis when, in milliseconds after the first phase began
 * @param load load of its class
 * @param account name of its client account
 * @param responseTokens length of the answer, in tokens; 0 for a plain call
 * @param id text that is unique to the request
 * @author The marjoramgw authors
 */
public record Arrival(long offsetMillis, RequestClassLoad load, String account, int responseTokens, String id) {
}
