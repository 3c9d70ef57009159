package org.marjoramgw.load.arrival;

import org.marjoramgw.load.experiment.RequestClassLoad;

/**
 * Request of an open-loop workload: it is sent at a fixed time, independent of the
 * completion of earlier requests.
 *
 * @param offsetMillis arrival time, in milliseconds after the start of the first phase
 * @param load load settings of its request class
 * @param account name of the client account that sends it
 * @param responseTokens length of the requested response, in tokens; 0 for a plain call
 * @param id unique id of the request
 * @author The marjoramgw authors
 */
public record Arrival(long offsetMillis, RequestClassLoad load, String account, int responseTokens, String id) {
}
