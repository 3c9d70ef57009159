package org.marjoramgw.direct.duty;

import java.util.SortedMap;

/**
 * Counts that a process has shared.
 *
 * @param window number of the window
 * @param member the process
 * @param revision number that rises with each call of the process
 * @param counts number of requests of each client account
 * @author The marjoramgw authors
 */
record SharedCounts(long window, DutyMember member, long revision, SortedMap<String, Integer> counts) {
}
