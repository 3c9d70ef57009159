package org.marjoramgw.direct.follow;

import org.marjoramgw.policy.retry.Backoff;

/**
 * Times of the reads of a topic. Every call to the store has a cost, and all processes
 * share its rate limit.
 *
 * @param waitMillis long-poll timeout of a read, in milliseconds
 * @param gatherMillis delay of the next read after one that returned records, so that
 * changes in quick succession are read together, in milliseconds
 * @param backoff delays before failed reads are retried
 * @author The marjoramgw authors
 */
public record ReadSchedule(long waitMillis, long gatherMillis, Backoff backoff) {
}
