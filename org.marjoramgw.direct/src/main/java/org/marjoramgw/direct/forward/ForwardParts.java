package org.marjoramgw.direct.forward;

import java.util.Random;

import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.direct.backend.BackendDialect;
import org.marjoramgw.direct.backend.ConnectionPool;
import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.caller.CallerDialect;
import org.marjoramgw.direct.follow.RoutingInForce;
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
 * @param gate order in which requests start
 * @param reading prompts that backend servers have still to read
 * @param servers choice of backend servers
 * @param pool connections to backend servers
 * @param budget retries that are allowed
 * @param outcomes where outcomes are counted and logged
 * @param clock clock for ages
 * @param timers timers
 * @param random source of randomness
 * @author The marjoramgw authors
 */
public record ForwardParts(ActorSystem<?> system, CallerDialect callerDialect, BackendDialect backendDialect,
		RoutingInForce routing, Admission admission, ServerDirectory directory, ServerHealth health, StartLimiter gate,
		PrefillLimiter reading, ServerChoice servers, ConnectionPool pool, WindowRetryBudget budget, Outcomes outcomes,
		AgeClock clock, Timers timers, Random random) {
}
