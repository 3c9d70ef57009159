package org.marjoramgw.load.arrival;

import org.marjoramgw.load.experiment.ClassLoad;

/**
 * Request that arrives at a given time, whatever became of earlier ones.
 *
 * @param atMillis when, in milliseconds after the first phase began
 * @param load load of its class
 * @param account name of its client account
 * @param answerTokens length of the answer, in tokens; 0 for a plain call
 * @param text text that is unique to the request
 * @author The marjoramgw authors
 */
public record Arrival(long atMillis, ClassLoad load, String account, int answerTokens, String text) {
}
