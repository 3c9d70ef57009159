package org.marjoramgw.policy.usage;

import java.util.SortedMap;

/**
 * Counts of one window.
 *
 * @param window number of the window
 * @param counts number of requests of each client account
 * @author The marjoramgw authors
 */
public record WindowCounts(long window, SortedMap<String, Integer> counts) {
}
