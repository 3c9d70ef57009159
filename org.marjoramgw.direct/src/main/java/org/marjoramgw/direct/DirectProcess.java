package org.marjoramgw.direct;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.marjoramgw.MillisClock;
import org.marjoramgw.direct.backend.StrayBytesLog;
import org.marjoramgw.direct.caller.CallerListener;
import org.marjoramgw.direct.duty.DutyMember;
import org.marjoramgw.direct.duty.UsageDuty;
import org.marjoramgw.direct.duty.UsagePlatform;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.follow.ObservedListener;
import org.marjoramgw.direct.follow.ServerDirectory;
import org.marjoramgw.direct.follow.TopicListener;
import org.marjoramgw.direct.forward.Admission;
import org.marjoramgw.direct.forward.Forwarder;
import org.marjoramgw.direct.forward.RequestLog;
import org.marjoramgw.direct.quarantine.PromptGuard;
import org.marjoramgw.direct.quarantine.QuarantineGuard;
import org.marjoramgw.direct.socket.SocketAcceptor;
import org.marjoramgw.direct.stream.SharedStreamVersions;
import org.marjoramgw.direct.stream.StreamVersions;
import org.marjoramgw.direct.warmup.WarmUp;
import org.marjoramgw.http.HttpConnector;
import org.marjoramgw.http.HttpListener;
import org.marjoramgw.metrics.PrometheusTextWriter;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.policy.lease.LeaseTimes;
import org.marjoramgw.policy.usage.UsageObserver;
import org.marjoramgw.policy.usage.UsageWindows;
import org.marjoramgw.policy.waiting.StartLimiter;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.program.Lifecycle;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.ClockReading;
import org.marjoramgw.time.LagMeter;
import org.marjoramgw.time.PekkoTimers;
import org.marjoramgw.time.Timers;
import org.tinylog.Logger;

/**
 * Entry process that forwards requests to backend servers directly. Creates its
 * components, starts them and shuts them down in order.
 *
 * @author The marjoramgw authors
 */
public final class DirectProcess {

	private static final long MAINTENANCE_INTERVAL_MILLIS = 500;

	/** Interval of the log lines about the attainment of each route. */
	private static final long ATTAINMENT_INTERVAL_MILLIS = 5_000;

	/** Jump of the time of day that triggers a new confirmation of the configuration. */
	private static final long CLOCK_JUMP_MILLIS = 300;

	/**
	 * Margin between the last permanent rejection by a configuration and the time in
	 * which a change takes effect, in milliseconds.
	 */
	private static final long APPLY_MARGIN_MILLIS = 300;

	/** Rate limit for log lines about successful requests; failures are always logged. */
	private static final int MAX_SERVED_LINES_PER_SECOND = 20;

	/** Number of requests after which most of the code is compiled. */
	private static final int WARM_UP_REQUESTS = 300;

	/**
	 * Open caller requests above which the warm-up stops, since it would only compete
	 * with them for CPU time.
	 */
	private static final int MAX_OPEN_DURING_WARM_UP = 1;

	/**
	 * Longest duration of the warm-up, in milliseconds; after it callers are served even
	 * if the code is not fully warmed up.
	 */
	private static final long WARM_UP_LIMIT_MILLIS = 2_000;

	/**
	 * Time for which callers wait for the configuration after a start; after it they are
	 * refused.
	 */
	private static final long LOAD_LIMIT_MILLIS = 700;

	/** Time in which waiting callers are noticed, who make a warm-up needless. */
	private static final long WARM_UP_DELAY_MILLIS = 200;

	private static final long LOAD_POLL_MILLIS = 10;

	/** Time for the last counts of usage at the end of a stop, in milliseconds. */
	private static final long LAST_COUNTS_MILLIS = 1_500;

	private final Lifecycle lifecycle;

	private final SettingsFile settings;

	private final MillisClock monotonicClock;

	private final AgeClock clock;

	private final ActorSystem<Void> system;

	private final Timers timers;

	private final LagMeter lag;

	private final ServerSettings serverSettings;

	private final HttpListener listener;

	private final HttpConnector connector;

	private final SocketAcceptor callerAcceptor;

	private final CallerListener callerListener;

	private final Platform platform;

	private final MetricRegistry registry = new MetricRegistry();

	private final ActiveRouting routing;

	private final ServerDirectory directory;

	private final Readiness readiness;

	private final RequestPath requestPath;

	private final RequestLog requestLog;

	private final Forwarder forwarder;

	private final ExplainEndpoint explainEndpoint;

	private final QuarantineGuard quarantineGuard;

	private final SharedStreamVersions streamVersions;

	private final StoreFollowers storeFollowers;

	private final FleetExchange fleet;

	private final Optional<UsageDuty> usageDuty;

	private ClockReading lastMaintenance;

	private volatile boolean warmedUp;

	/**
	 * Creates a process.
	 * @param lifecycle lifecycle of the process, whose signals are handled already
	 * @param settingsFile settings of the process
	 * @param monotonicClock monotonic clock, the same as that of the lifecycle
	 * @param clock clock that measures ages, also that of the acceptor
	 * @param callerAcceptor acceptor that already listens for callers
	 * @param platformFactory creates the platform adapter from the actor system and a
	 * connector
	 */
	public DirectProcess(Lifecycle lifecycle, SettingsFile settingsFile, MillisClock monotonicClock, AgeClock clock,
			SocketAcceptor callerAcceptor, BiFunction<ActorSystem<?>, HttpConnector, Platform> platformFactory) {
		this.lifecycle = lifecycle;
		this.settings = settingsFile;
		this.monotonicClock = monotonicClock;
		this.clock = clock;
		this.lastMaintenance = clock.now();
		this.callerAcceptor = callerAcceptor;
		Config config = ConfigFactory.load("direct");
		this.system = ActorSystem.create(Behaviors.empty(), "entry", config);
		this.timers = new PekkoTimers(this.system);
		this.lag = new LagMeter(this.monotonicClock, this.timers);
		this.serverSettings = ServerSettings.create(config);
		this.listener = new HttpListener(this.system, this.serverSettings);
		StrayBytesLog strayBytes = new StrayBytesLog(this.registry);
		this.connector = new HttpConnector(this.system, ClientConnectionSettings.create(config), strayBytes);
		this.platform = platformFactory.apply(this.system, this.connector);
		this.routing = new ActiveRouting(this.platform.configurationKey(), this.platform.routingDecoder(), this.clock);
		this.directory = new ServerDirectory(this.platform.serverDecoder(), this.clock);
		this.readiness = new Readiness(this.lifecycle, () -> this.warmedUp, this.directory, this.lag, this.routing,
				() -> this.settings.get().revocationMillis());
		this.requestPath = new RequestPath(this.system, config, this.platform, this.settings, this.monotonicClock,
				this.clock, this.timers, this.lag::lagMillis, strayBytes, this.registry, callerAcceptor.memory());
		this.quarantineGuard = this.requestPath.quarantineGuard();
		this.fleet = FleetExchange.of(this.requestPath.sharedLoad(), this.settings.get(), this.platform.entries(),
				this.monotonicClock, this.timers, this.registry);
		this.usageDuty = this.platform.usage().map(this::usageDuty);
		this.requestLog = new RequestLog(this.registry, this.monotonicClock, MAX_SERVED_LINES_PER_SECOND);
		StartLimiter startLimiter = this.requestPath.startLimiter();
		this.streamVersions = this.requestPath.streamVersions(this.directory);
		TopicListener servers = new ObservedListener(this.directory, this.streamVersions::onStoreReadAnew,
				this.streamVersions::onRegistrations);
		this.storeFollowers = new StoreFollowers(this.platform, this.routing, servers, this.quarantineGuard, this.clock,
				this.timers, new ResultCounters(this.registry));
		Admission admission = new Admission(this.routing, this.readiness::maxAgeMillis,
				() -> this.settings.get().configurationApplyMillis() - APPLY_MARGIN_MILLIS,
				this.storeFollowers::confirmConfiguration);
		this.forwarder = this.requestPath.forwarder(this.routing, admission, this.directory, this.streamVersions,
				this.quarantineGuard, this.requestLog, startLimiter, this.requestPath.sharedLoad(),
				this.usageDuty.map(UsageDuty::observer).orElse(UsageObserver.NONE));
		this.explainEndpoint = new ExplainEndpoint(this.requestPath.explainer(this.forwarder, this.routing,
				this.directory, this.requestPath.sharedLoad())::explain);
		this.callerListener = callerListener(this.forwarder, startLimiter);
		this.registry.register("quarantine.verdicts", (Gauge<Integer>) this.quarantineGuard::verdictCount);
		this.registry.register("lag.ms", (Gauge<Long>) this.lag::lagMillis);
		this.registry.register("requests.held", (Gauge<Integer>) this.requestPath::waitingCount);
		this.registry.register("connections.waiting", (Gauge<Integer>) this.callerListener::waitingCount);
		this.registry.register("requests.open", (Gauge<Integer>) this.forwarder::openCount);
		CallerGauges.register(this.registry, callerAcceptor.memory(), this.callerListener);
	}

	/**
	 * Starts the topic followers, the health and metrics endpoints and the caller
	 * listener, then the warm-up.
	 */
	public void run() {
		this.storeFollowers.start();
		this.quarantineGuard.start();
		this.streamVersions.start();
		this.fleet.start();
		this.usageDuty.ifPresent(UsageDuty::start);
		runMaintenance();
		logAttainment();
		this.lag.start();
		PrometheusTextWriter metrics = new PrometheusTextWriter(this.registry);
		new ManagementEndpoint(this.system, this.listener,
				Map.of(this.settings.get().healthPath(), (request) -> readiness()))
			.bindOrHalt("health", this.settings.get().healthAddress());
		Map<String, Function<HttpRequest, HttpResponse>> operatorPaths = new HashMap<>();
		operatorPaths.put(ExplainEndpoint.PATH, this.explainEndpoint::respond);
		operatorPaths.put(this.settings.get().metricsPath(), (request) -> metricsResponse(metrics));
		new ManagementEndpoint(this.system, this.listener, operatorPaths).bindOrHalt("metrics",
				this.settings.get().metricsAddress());
		serveWhenLoaded(this.monotonicClock.nowMillis() + LOAD_LIMIT_MILLIS);
		Logger.info("started process={} failure_domain={}", this.settings.get().processId(),
				this.settings.get().failureDomain());
	}

	/**
	 * Starts to serve callers once the configuration and the registrations are loaded.
	 * Until then callers could only be refused, and refusing them would delay the
	 * loading, since a process that has just started is short of CPU time.
	 * @param limitMillis time of the monotonic clock at which callers are served anyway
	 */
	private void serveWhenLoaded(long limitMillis) {
		boolean loaded = this.routing.current().isPresent() && this.directory.isLoaded()
				&& this.streamVersions.isLoaded();
		if (loaded || this.monotonicClock.nowMillis() >= limitMillis) {
			this.callerListener.serve(this.callerAcceptor)
				.thenRun(() -> this.lifecycle.started(this::stop, () -> reload("SIGHUP")));
			this.timers.schedule(WARM_UP_DELAY_MILLIS, this::warmUp);
		}
		else {
			this.timers.schedule(LOAD_POLL_MILLIS, () -> serveWhenLoaded(limitMillis));
		}
	}

	private void warmUp() {
		if (isWarmUpSuperseded()) {
			this.warmedUp = true;
			return;
		}
		new WarmUp(this.system, this.listener, this.connector, this.platform.samples(), this.clock, WARM_UP_REQUESTS,
				WARM_UP_LIMIT_MILLIS, this::isWarmUpSuperseded)
			.run(this::startSampleListener)
			.thenAccept((done) -> {
				this.warmedUp = true;
				if (this.settings.get().stopAfterWarmUp()) {
					this.lifecycle.requestStop("end of the training", ExitCode.OK);
				}
			});
	}

	private boolean isWarmUpSuperseded() {
		return this.lifecycle.isStopping() || this.forwarder.openCount() > MAX_OPEN_DURING_WARM_UP;
	}

	private void startSampleListener(List<KeyedRecord> registrations, SocketAcceptor acceptor) {
		ActiveRouting sampleRouting = new ActiveRouting("", this.platform.routingDecoder(), this.clock);
		sampleRouting.onSnapshot(List.of(new KeyedRecord("", Optional.of(this.platform.samples().configuration()), 0)));
		sampleRouting.onConfirmed(this.clock.now());
		ServerDirectory sampleDirectory = new ServerDirectory(this.platform.serverDecoder(), this.clock);
		sampleDirectory.onSnapshot(registrations);
		StartLimiter sampleLimiter = this.requestPath.startLimiter();
		LongSupplier maxAgeMillis = () -> WARM_UP_LIMIT_MILLIS * 2;
		Admission sampleAdmission = new Admission(sampleRouting, maxAgeMillis, maxAgeMillis,
				() -> CompletableFuture.completedFuture(true));
		Forwarder sampleForwarder = this.requestPath.forwarder(sampleRouting, sampleAdmission, sampleDirectory,
				StreamVersions.NONE, PromptGuard.NONE, new RequestLog(new MetricRegistry(), this.monotonicClock, 0),
				sampleLimiter, this.requestPath.sampleLoad(), UsageObserver.NONE);
		callerListener(sampleForwarder, sampleLimiter).serve(acceptor);
	}

	private UsageDuty usageDuty(UsagePlatform usagePlatform) {
		DirectSettings current = this.settings.get();
		UsageSettings usage = current.usage();
		UsageDuty duty = new UsageDuty(
				new DutyMember(current.processId(), System.currentTimeMillis(), current.failureDomain()),
				new UsageWindows(usage.windowMillis(), usage.dueMillis()),
				LeaseTimes.of(usage.leaseMillis(), usage.fenced()), usagePlatform, this.monotonicClock,
				System::currentTimeMillis, this.timers, this.lag::lagMillis);
		duty.register(this.registry);
		return duty;
	}

	private CallerListener callerListener(Forwarder target, StartLimiter startLimiter) {
		return new CallerListener(this.system, this.serverSettings, this.timers, startLimiter,
				this.requestPath.startTimeouts(), this.routing::limits, target::unread, target::handle);
	}

	private HttpResponse readiness() {
		return HttpResponse.create()
			.withStatus(this.readiness.isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
	}

	private static HttpResponse metricsResponse(PrometheusTextWriter metrics) {
		return HttpResponse.create().withEntity(ContentTypes.TEXT_PLAIN_UTF8, metrics.write());
	}

	private void runMaintenance() {
		if (Math.abs(this.clock.driftMillis(this.lastMaintenance)) > CLOCK_JUMP_MILLIS) {
			Logger.info("time of day jumped or the VM was suspended; confirming the configuration");
			this.storeFollowers.confirm();
		}
		this.lastMaintenance = this.clock.now();
		if (this.settings.hasChanged()) {
			reload("file changed");
		}
		this.requestPath.cleanUp(this.directory.serverIds());
		this.timers.schedule(MAINTENANCE_INTERVAL_MILLIS, this::runMaintenance);
	}

	private void logAttainment() {
		this.requestLog.endAttainmentInterval();
		this.timers.schedule(ATTAINMENT_INTERVAL_MILLIS, this::logAttainment);
	}

	private void reload(String reason) {
		if (this.settings.reload()) {
			Logger.info("settings read again: {}", reason);
		}
	}

	/**
	 * Shuts down in order: reports that the process is not ready, stops the callers' side
	 * and then the followers of the store.
	 * @param requestedMillis time of the monotonic clock at which the stop was requested,
	 * in milliseconds
	 */
	private void stop(long requestedMillis) {
		this.fleet.leave();
		long graceMillis = this.settings.get().stopGraceMillis();
		this.usageDuty.ifPresent(UsageDuty::release);
		new GracefulStop(this.monotonicClock, this.forwarder, this.callerListener, this.callerAcceptor)
			.run(requestedMillis, graceMillis);
		this.usageDuty.ifPresent((duty) -> duty
			.close(Math.min(LAST_COUNTS_MILLIS, requestedMillis + graceMillis - this.monotonicClock.nowMillis())));
		this.storeFollowers.close();
	}

}
