package org.marjoramgw.direct.forward;

import java.util.Random;

import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.direct.backend.BackendDialect;
import org.marjoramgw.direct.backend.ConnectionPool;
import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.caller.CallerDialect;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.policy.limiter.StartLimiter;
import org.marjoramgw.policy.prefill.PrefillLimiter;
import org.marjoramgw.policy.retry.WindowRetryBudget;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.Timers;

/**
 * What all requests use.
 *
 * @param system the actor system
 * @param callerDialect names used towards callers
 * @param backendDialect names used towards backend servers
 * @param routing the configuration in force
 * @param admission judge of requests
 * @param directory registered backend servers
 * @param health work and failures of backend servers
 * @param startGate order in which requests start
 * @param prefillGate prompts that backend servers have still to read
 * @param serverSelector choice of backend servers
 * @param pool connections to backend servers
 * @param retryBudget retries that are allowed
 * @param requestLog where outcomes are counted and logged
 * @param clock clock for ages
 * @param timers timers
 * @param random source of randomness
 * @author The marjoramgw authors
 */
public record ForwardingContext(ActorSystem<?> system, CallerDialect callerDialect, BackendDialect backendDialect,
		ActiveRouting routing, Admission admission, ServerDirectory directory, ServerHealth health,
		StartLimiter startGate, PrefillLimiter prefillGate, ServerSelector serverSelector, ConnectionPool pool,
		WindowRetryBudget retryBudget, RequestLog requestLog, AgeClock clock, Timers timers, Random random) {
}
