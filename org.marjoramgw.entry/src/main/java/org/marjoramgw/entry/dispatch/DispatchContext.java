package org.marjoramgw.entry.dispatch;

import org.marjoramgw.MillisClock;
import org.marjoramgw.config.Limits;
import org.marjoramgw.entry.EntrySettings;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.policy.candidate.CandidateSelector;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.policy.retry.RetryBudget;
import org.marjoramgw.trace.DecisionLog;

/**
 * Components and limits that the dispatch of a request uses.
 *
 * @param settings settings of the entry
 * @param limits limits of the configuration that was in force when the request arrived
 * @param clock clock for deadlines
 * @param sides connected side processes
 * @param openRequests open requests
 * @param selector selector of candidate side processes
 * @param retryBudget retries allowed for each class
 * @param backoff delay before each retry
 * @param counters counters of result codes
 * @param decisions log of decisions about requests
 * @author The marjoramgw authors
 */
public record DispatchContext(EntrySettings settings, Limits limits, MillisClock clock, SideProcesses sides,
		OpenRequests openRequests, CandidateSelector selector, RetryBudget retryBudget, Backoff backoff,
		ResultCounters counters, DecisionLog decisions) {
}
