package org.marjoramgw.direct.forward;

import java.util.OptionalLong;
import java.util.Random;

import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.direct.backend.BackendDialect;
import org.marjoramgw.direct.backend.ConnectionPool;
import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.caller.CallerDialect;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.direct.quarantine.PromptGuard;
import org.marjoramgw.direct.stream.StreamVersions;
import org.marjoramgw.http.BodyReader;
import org.marjoramgw.policy.fleet.LoadObserver;
import org.marjoramgw.policy.partition.PromptPartition;
import org.marjoramgw.policy.prefill.PrefillLimiter;
import org.marjoramgw.policy.retry.WindowRetryBudget;
import org.marjoramgw.policy.usage.UsageObserver;
import org.marjoramgw.policy.waiting.RequestTime;
import org.marjoramgw.policy.waiting.StartLimiter;
import org.marjoramgw.policy.waiting.StartTimeouts;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.Timers;

/**
 * Components shared by all forwarded requests.
 *
 * @param system the actor system
 * @param callerDialect header conventions of callers
 * @param backendDialect header conventions of backend servers
 * @param routing the active configuration
 * @param admission admission check
 * @param directory registered backend servers
 * @param health load and failure state of backend servers
 * @param startLimiter limits concurrently starting requests
 * @param startTimeouts timeouts of starting requests
 * @param prefillLimiter limits the prompts in prefill at each backend server
 * @param promptPartition partition of backend servers by the length of prompts
 * @param serverSelector selects backend servers
 * @param streams software versions at which streams begin and go on
 * @param pool pool of connections to backend servers
 * @param retryBudget budget of retries
 * @param bodyReader reader of complete bodies
 * @param bodyBudget memory budget of response bodies
 * @param promptGuard keeps prompts that crash backend servers away from them
 * @param recentSends the latest requests that were sent
 * @param loadObserver receiver of the course of requests at backend servers
 * @param requestLog counts and logs outcomes
 * @param usage observer of the requests that begin to run
 * @param clock clock that measures ages
 * @param timers timers
 * @param random source of randomness
 * @author The marjoramgw authors
 */
public record ForwardingContext(ActorSystem<?> system, CallerDialect callerDialect, BackendDialect backendDialect,
		ActiveRouting routing, Admission admission, ServerDirectory directory, ServerHealth health,
		StartLimiter startLimiter, StartTimeouts startTimeouts, PrefillLimiter prefillLimiter,
		PromptPartition promptPartition, ServerSelector serverSelector, StreamVersions streams, ConnectionPool pool,
		WindowRetryBudget retryBudget, BodyReader bodyReader, BodyBudget bodyBudget, PromptGuard promptGuard,
		RecentSends recentSends, LoadObserver loadObserver, RequestLog requestLog, UsageObserver usage, AgeClock clock,
		Timers timers, Random random) {

	/**
	 * Returns the time in which a request has to be answered.
	 * @param caller decoded head of the request
	 * @return the time as far as it is known
	 */
	RequestTime requestTime(CallerRequest caller) {
		return this.routing.route(caller.host(), caller.path())
			.map((route) -> route.requestTime(caller.deadlineMillis()))
			.orElseGet(() -> RequestTime.of(OptionalLong.empty(), caller.deadlineMillis()));
	}

}
