package org.marjoramgw.policy.share;

/**
 * State of the slots of a backend server that a decision about one of them depends on.
 *
 * @param limit current slot limit
 * @param nextFreeInMillis time until another slot is expected to be free, in
 * milliseconds; 0 if another one is free already
 * @author The marjoramgw authors
 */
public record SlotForecast(int limit, long nextFreeInMillis) {

}
