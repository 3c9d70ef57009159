package org.marjoramgw.entry;

import java.util.List;
import java.util.Map;
import java.util.Random;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.stream.javadsl.Tcp;
import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.config.LogConfigurationSource;
import org.marjoramgw.entry.caller.CallerRoutes;
import org.marjoramgw.entry.caller.EntryContext;
import org.marjoramgw.entry.dispatch.OpenRequests;
import org.marjoramgw.entry.side.ConnectedSides;
import org.marjoramgw.entry.side.SideLinkManager;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.http.BoundedHttpServer;
import org.marjoramgw.http.MemoryBudget;
import org.marjoramgw.http.ServerGauges;
import org.marjoramgw.log.HttpLogService;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.operator.ManageableProcess;
import org.marjoramgw.operator.OperatorRoutes;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.program.Lifecycle;
import org.marjoramgw.program.Pause;
import org.marjoramgw.program.ReadyLine;
import org.marjoramgw.trace.DecisionLog;
import org.marjoramgw.transport.PekkoTransport;
import org.marjoramgw.vmlist.HttpVmList;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.vmlist.VmListWatcher;
import org.marjoramgw.wire.MessageCodec;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;
import org.tinylog.Logger;

/**
 * Entry process: creates its components, starts them and shuts them down in order.
 *
 * @author The marjoramgw authors
 */
final class EntryProcess implements ManageableProcess {

	private static final int MAX_DECISIONS = 20_000;

	private static final int SEND_BUFFER_FRAMES = 8_192;

	private static final long PLATFORM_TIMEOUT_MILLIS = 2_000;

	/** Time in which the load balancer notices the failing health check. */
	private static final long UNBIND_DELAY_MILLIS = 1_000;

	private static final long DRAIN_POLL_MILLIS = 20;

	/** Time in which the last responses and messages are written to the network. */
	private static final long FINAL_WRITES_MILLIS = 300;

	private final EntrySettings settings;

	private final Lifecycle lifecycle;

	private final MillisClock clock = new SystemMillisClock();

	private final PeerIdentity identity;

	private final ActorSystem<Void> system;

	private final MetricRegistry registry = new MetricRegistry();

	private final ResultCounters counters = new ResultCounters(this.registry);

	private final DecisionLog decisions = new DecisionLog(this.clock, MAX_DECISIONS);

	private final OpenRequests openRequests = new OpenRequests();

	private final ConnectedSides sides = new ConnectedSides();

	private final VmListWatcher vms;

	private final ConfigurationSource configuration;

	private final MemoryBudget callerMemory;

	private final EntryContext entryContext;

	private final ActorRef<SideLinkManager.Command> linkManager;

	EntryProcess(EntrySettings settings, Lifecycle lifecycle) {
		this.settings = settings;
		this.lifecycle = lifecycle;
		this.identity = new PeerIdentity(settings.processId(), Vm.ENTRY, settings.failureDomain(),
				this.clock.nowMillis(), "");
		this.system = ActorSystem.create(Behaviors.empty(), "entry", ConfigFactory.load("callers"));
		BlockingHttpClient platform = new BlockingHttpClient(this.system, PLATFORM_TIMEOUT_MILLIS, "");
		this.vms = new VmListWatcher(new HttpVmList(platform, settings.vmListUrl()), settings.pollMillis());
		this.configuration = new LogConfigurationSource(new HttpLogService(platform, settings.logUrl()),
				new ConfigurationParser(), this.clock, settings.pollMillis(), () -> this.vms.current().size(),
				new Random(), this.counters);
		this.callerMemory = settings.callerLimits().newBudget();
		this.entryContext = new EntryContext(settings, this.clock, this.sides, this.openRequests, this.counters,
				this.decisions, this.configuration, this.callerMemory, new Random());
		this.linkManager = startLinkManager();
		this.registry.register("requests.open", (Gauge<Integer>) this.openRequests::count);
	}

	@Override
	public PeerIdentity identity() {
		return this.identity;
	}

	@Override
	public PeerStatus status() {
		long revision = this.configuration.current().map((current) -> current.revision()).orElse(0L);
		return new PeerStatus(revision, this.lifecycle.isStopping(), this.openRequests.count(), 0, 0);
	}

	@Override
	public void drain() {
		this.lifecycle.requestStop("order to drain", ExitCode.OK);
	}

	void run() {
		OperatorRoutes operators = new OperatorRoutes(this, this.decisions, this.registry,
				this.settings.operatorToken());
		Route route = Directives.concat(operators.route(), new CallerRoutes(this.system, this.entryContext).route());
		HostPort address = this.settings.httpAddress();
		BoundedHttpServer server = new BoundedHttpServer(this.system, this.settings.callerLimits(), this.callerMemory);
		ServerGauges.register(this.registry, server, this.callerMemory);
		this.lifecycle.exitIfStopping();
		server.bind(address, route.handler(this.system)).whenComplete((binding, failure) -> onBound(binding, failure));
	}

	private void onBound(Tcp.ServerBinding binding, Throwable failure) {
		if (failure != null) {
			Logger.error(failure, "can't listen on {}", this.settings.httpAddress());
			new Thread(() -> Runtime.getRuntime().halt(1), "exit").start();
			return;
		}
		ReadyLine
			.print(Map.of("http", new HostPort(this.settings.httpAddress().host(), binding.localAddress().getPort())));
		this.lifecycle.started((requestedMillis) -> stop(binding));
	}

	private ActorRef<SideLinkManager.Command> startLinkManager() {
		PekkoTransport transport = new PekkoTransport(this.system, new MessageCodec(), MessageCodec.MAX_FRAME_BYTES,
				SEND_BUFFER_FRAMES);
		ActorRef<SideLinkManager.Command> manager = this.system
			.systemActorOf(SideLinkManager.create(this.settings, this.identity, this::status, this.configuration,
					transport, this.clock, this.openRequests, this.sides, this.counters), "sides", Props.empty());
		this.vms.addListener((List<Vm> listed) -> manager.tell(new SideLinkManager.VmsChanged(listed)));
		this.configuration.addListener((current) -> manager.tell(new SideLinkManager.StatusChanged()));
		return manager;
	}

	/**
	 * Shuts down gracefully: fails the health check, waits until the load balancer has
	 * noticed, accepts no new connections, and waits for the open requests to finish.
	 * @param binding binding of the HTTP endpoint
	 */
	private void stop(Tcp.ServerBinding binding) {
		this.linkManager.tell(new SideLinkManager.StatusChanged());
		Logger.info("leaving with {} open requests", this.openRequests.count());
		Pause.millis(UNBIND_DELAY_MILLIS);
		binding.unbind();
		long deadlineMillis = this.clock.nowMillis() + this.settings.drainMillis();
		while (this.openRequests.count() > 0 && this.clock.nowMillis() < deadlineMillis) {
			Pause.millis(DRAIN_POLL_MILLIS);
		}
		this.entryContext.close();
		Pause.millis(FINAL_WRITES_MILLIS);
		this.vms.close();
		this.configuration.close();
		Logger.info("stopped with {} open requests", this.openRequests.count());
	}

}
