package org.marjoramgw.direct;

import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import com.typesafe.config.Config;
import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.backend.BackendHttpSettings;
import org.marjoramgw.direct.backend.ConnectionPool;
import org.marjoramgw.direct.backend.ServerHealth;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.direct.forward.Admission;
import org.marjoramgw.direct.forward.BodyBudget;
import org.marjoramgw.direct.forward.Forwarder;
import org.marjoramgw.direct.forward.ForwardingContext;
import org.marjoramgw.direct.forward.RecentSends;
import org.marjoramgw.direct.forward.RequestExplainer;
import org.marjoramgw.direct.forward.RequestLog;
import org.marjoramgw.direct.forward.ServerSelector;
import org.marjoramgw.direct.forward.ServerViews;
import org.marjoramgw.direct.quarantine.PromptGuard;
import org.marjoramgw.direct.quarantine.QuarantineGuard;
import org.marjoramgw.direct.stream.SharedStreamVersions;
import org.marjoramgw.direct.stream.StreamVersions;
import org.marjoramgw.http.BodyReader;
import org.marjoramgw.http.HttpConnector;
import org.marjoramgw.http.StrayBytes;
import org.marjoramgw.policy.fleet.LoadObserver;
import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.policy.partition.PromptPartition;
import org.marjoramgw.policy.placement.AffinityPlacement;
import org.marjoramgw.policy.placement.LeastLoadedPlacement;
import org.marjoramgw.policy.placement.Placement;
import org.marjoramgw.policy.prefill.PrefillLimiter;
import org.marjoramgw.policy.quarantine.Quarantine;
import org.marjoramgw.policy.retry.Backoff;
import org.marjoramgw.policy.retry.WindowRetryBudget;
import org.marjoramgw.policy.usage.UsageObserver;
import org.marjoramgw.policy.waiting.StartLimiter;
import org.marjoramgw.policy.waiting.StartTimeouts;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.Timers;

/**
 * Components on the path of a request, and the state that they keep of backend servers.
 * Forwarders for callers and for the warm-up share it.
 *
 * @author The marjoramgw authors
 */
final class RequestPath {

	/**
	 * Minimum number of entry processes assumed to share the configured free retries.
	 * They don't know each other; deployments with more of them have at least as many
	 * backend servers.
	 */
	private static final int MIN_ASSUMED_PROCESS_COUNT = 16;

	/**
	 * Load from this process that a server may always have while it is preferred for the
	 * prompts in its cache, in requests.
	 */
	private static final double AFFINITY_SLACK = 4;

	/** Requests that may start concurrently; starting a request is mostly CPU-bound. */
	private static final int MAX_STARTING_REQUESTS = 4;

	/** Maximum size of a response body that is read completely. */
	private static final long MAX_BODY_BYTES = 8L << 20;

	/** Share of the memory for callers that all such bodies may use, in sevenths. */
	private static final long BODIES_SEVENTHS = 4;

	/** Maximum delay of the first repetition of an append, in milliseconds. */
	private static final long BASE_APPEND_BACKOFF_MILLIS = 250;

	private static final long MAX_APPEND_BACKOFF_MILLIS = 1_000;

	private final ActorSystem<?> system;

	private final Platform platform;

	private final SettingsFile settings;

	private final MillisClock monotonicClock;

	private final AgeClock clock;

	private final Timers timers;

	private final ServerHealth health;

	private final PrefillLimiter prefillLimiter;

	private final StartTimeouts startTimeouts;

	private final HttpConnector connector;

	private final ConnectionPool pool;

	private final LongSupplier lagMillis;

	private final Optional<SharedLoad> sharedLoad;

	private final BodyBudget bodyBudget;

	/**
	 * Creates a request path.
	 * @param system the actor system
	 * @param config configuration of the HTTP library
	 * @param platform the platform adapter
	 * @param settings settings of the process
	 * @param monotonicClock monotonic clock
	 * @param clock clock that measures ages
	 * @param timers timers
	 * @param lagMillis scheduling lag of the process, in milliseconds
	 * @param strayBytes receiver of reports on bytes that belong to no response
	 * @param registry registry of the metrics
	 * @param memory memory of what is held for callers
	 */
	RequestPath(ActorSystem<?> system, Config config, Platform platform, SettingsFile settings,
			MillisClock monotonicClock, AgeClock clock, Timers timers, LongSupplier lagMillis, StrayBytes strayBytes,
			MetricRegistry registry, MemoryBudget memory) {
		this.bodyBudget = new BodyBudget(MAX_BODY_BYTES, memory.totalBytes() / 7 * BODIES_SEVENTHS, memory);
		this.system = system;
		this.platform = platform;
		this.settings = settings;
		this.monotonicClock = monotonicClock;
		this.clock = clock;
		this.timers = timers;
		this.lagMillis = lagMillis;
		this.sharedLoad = settings.get().peers().isEnabled() ? Optional.of(newSharedLoad(registry)) : Optional.empty();
		this.health = new ServerHealth(monotonicClock);
		this.prefillLimiter = new PrefillLimiter(monotonicClock, system.executionContext(), lagMillis);
		this.startTimeouts = new StartTimeouts(monotonicClock, timers);
		this.connector = new HttpConnector(system, BackendHttpSettings.of(config), strayBytes);
		this.pool = new ConnectionPool(this.connector, monotonicClock);
	}

	/**
	 * Creates a forwarder.
	 * @param routing the configuration that it applies
	 * @param servers the backend servers that it uses
	 * @param streams versions at which streams begin and go on
	 * @param promptGuard guard of the backend servers
	 * @param requestLog log of its requests
	 * @param startLimiter limits its requests that start concurrently, also that of its
	 * callers' connections
	 * @param load load that the processes share, or empty if they don't
	 * @param admission admission check by that configuration
	 * @param usage observer of the requests that begin to run
	 * @return the forwarder
	 */
	Forwarder forwarder(ActiveRouting routing, Admission admission, ServerDirectory servers, StreamVersions streams,
			PromptGuard promptGuard, RequestLog requestLog, StartLimiter startLimiter, Optional<SharedLoad> load,
			UsageObserver usage) {
		Random random = new Random();
		PromptPartition promptPartition = new PromptPartition(this.monotonicClock);
		return new Forwarder(new ForwardingContext(this.system, this.platform.callerDialect(),
				this.platform.backendDialect(), routing, admission, servers, this.health, startLimiter,
				this.startTimeouts, this.prefillLimiter, promptPartition,
				serverSelector(routing, servers, load.map(SharedLoad::placement), promptPartition, random), streams,
				this.pool, retryBudget(servers), new BodyReader(this.system), this.bodyBudget, promptGuard,
				new RecentSends(), load.<LoadObserver>map(SharedLoad::book).orElse(LoadObserver.NONE), requestLog,
				usage, this.clock, this.timers, random));
	}

	/**
	 * Creates an explainer of what a forwarder would decide. Its selectors are those of
	 * the forwarder, but with copies of what a choice changes and a random source of
	 * their own.
	 * @param forwarder the forwarder
	 * @param routing the configuration that it applies
	 * @param servers the backend servers that it uses
	 * @param load load that the processes share, or empty if they don't
	 * @return the explainer
	 */
	RequestExplainer explainer(Forwarder forwarder, ActiveRouting routing, ServerDirectory servers,
			Optional<SharedLoad> load) {
		return forwarder.explainer(
				this.settings.get().processId(), (partition) -> serverSelector(routing, servers,
						load.map(SharedLoad::readOnlyPlacement), partition, new Random()),
				(server) -> load.map((shared) -> shared.estimates(server)).orElse(Map.of()));
	}

	/**
	 * Returns the load that this process shares with its peers.
	 * @return the load, or empty if it has no peers
	 */
	Optional<SharedLoad> sharedLoad() {
		return this.sharedLoad;
	}

	/**
	 * Creates a load for sample requests, which peers don't hear of.
	 * @return the load, or empty if this process has no peers
	 */
	Optional<SharedLoad> sampleLoad() {
		return this.sharedLoad.map((load) -> newSharedLoad(new MetricRegistry()));
	}

	/**
	 * Creates a limiter for a forwarder and the connections of its callers.
	 * @return the limiter
	 */
	StartLimiter startLimiter() {
		return new StartLimiter(MAX_STARTING_REQUESTS, this.system.executionContext());
	}

	/**
	 * Returns the timeouts of starting requests.
	 * @return the timeouts
	 */
	StartTimeouts startTimeouts() {
		return this.startTimeouts;
	}

	/**
	 * Creates a guard that shares its verdicts with all processes.
	 * @return the guard
	 */
	QuarantineGuard quarantineGuard() {
		String processId = this.settings.get().processId();
		Quarantine quarantine = new Quarantine(processId, this.monotonicClock, System::currentTimeMillis, new Random());
		return new QuarantineGuard(processId, quarantine, this.platform.quarantine(), this.connector, this.health,
				this.monotonicClock, this.timers,
				new Backoff(BASE_APPEND_BACKOFF_MILLIS, MAX_APPEND_BACKOFF_MILLIS, new Random()));
	}

	/**
	 * Creates the versions of streams that all processes share.
	 * @param servers the backend servers
	 * @return the versions
	 */
	SharedStreamVersions streamVersions(ServerDirectory servers) {
		return new SharedStreamVersions(this.settings.get().processId(), servers, this.platform.streams(),
				this.monotonicClock, System::currentTimeMillis, this.timers,
				new Backoff(BASE_APPEND_BACKOFF_MILLIS, MAX_APPEND_BACKOFF_MILLIS, new Random()));
	}

	/**
	 * Returns the number of requests that wait before they are sent to a server.
	 * @return the number of requests
	 */
	int waitingCount() {
		return this.prefillLimiter.waitingCount();
	}

	/**
	 * Closes expired connections, and discards the state of servers that no longer exist.
	 * @param serverIds ids of the servers that exist
	 */
	void cleanUp(Set<String> serverIds) {
		this.pool.closeExpired();
		this.health.retain(serverIds);
		this.prefillLimiter.retainServers(serverIds::contains);
	}

	private SharedLoad newSharedLoad(MetricRegistry registry) {
		return new SharedLoad(this.settings.get().processId(), this.monotonicClock, this.lagMillis, registry,
				ownLoadPlacement(new Random()));
	}

	private static AffinityPlacement ownLoadPlacement(Random random) {
		return new AffinityPlacement(AFFINITY_SLACK, new LeastLoadedPlacement(random));
	}

	private ServerSelector serverSelector(ActiveRouting routing, ServerDirectory servers,
			Optional<Placement> sharedPlacement, PromptPartition promptPartition, Random random) {
		ServerViews views = sharedPlacement.isPresent() ? ServerViews.ofSharedLoad(this.health, routing)
				: ServerViews.ofOwnLoad(this.health);
		return new ServerSelector(servers, views, sharedPlacement.orElseGet(() -> ownLoadPlacement(random)),
				promptPartition, this.settings.get().failureDomain());
	}

	private WindowRetryBudget retryBudget(ServerDirectory servers) {
		return new WindowRetryBudget(this.monotonicClock, this.settings.get().retryWindowMillis(),
				this.settings.get().retryRatio(), () -> (double) this.settings.get().freeRetryCount()
						/ Math.max(MIN_ASSUMED_PROCESS_COUNT, servers.count()));
	}

}
