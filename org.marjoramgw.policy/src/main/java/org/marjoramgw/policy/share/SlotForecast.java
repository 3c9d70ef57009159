package org.marjoramgw.policy.share;

/**
 * Slots of a backend server as a decision about one of them needs to know them.
 *
 * @param limit current slot limit
 * @param nextFreeInMillis time until another slot is expected to be free, in
 * milliseconds; 0 if another one is free already
 * @author The marjoramgw authors
 */
public record SlotForecast(int limit, long nextFreeInMillis) {

}
