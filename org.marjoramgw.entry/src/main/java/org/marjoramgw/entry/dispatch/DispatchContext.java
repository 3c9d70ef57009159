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
 * What the course of a request depends on.
 *
 * @param settings settings of the entry
 * @param limits limits of the configuration that was in force on arrival
 * @param clock the clock
 * @param sides connected side processes
 * @param openRequests open requests
 * @param selector choice of candidates
 * @param retryBudget retry budget
 * @param backoff delays before retries
 * @param counters counters of results
 * @param decisions record of decisions
 * @author The marjoramgw authors
 */
public record DispatchContext(EntrySettings settings, Limits limits, MillisClock clock, SideProcesses sides,
		OpenRequests openRequests, CandidateSelector selector, RetryBudget retryBudget, Backoff backoff,
		ResultCounters counters, DecisionLog decisions) {
}
