package org.marjoramgw.side;

import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.codahale.metrics.MetricRegistry;
import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.stream.javadsl.Tcp;
import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.http.BoundedHttpServer;
import org.marjoramgw.http.MemoryBudget;
import org.marjoramgw.http.ServerGauges;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.operator.ManageableProcess;
import org.marjoramgw.operator.OperatorRoutes;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.program.Lifecycle;
import org.marjoramgw.program.Pause;
import org.marjoramgw.program.ReadyLine;
import org.marjoramgw.side.backend.Backend;
import org.marjoramgw.side.engine.EngineBackend;
import org.marjoramgw.side.entry.EntryConnections;
import org.marjoramgw.side.entry.HeartbeatIntervals;
import org.marjoramgw.side.plainservice.PlainServiceBackend;
import org.marjoramgw.side.scheduler.Scheduler;
import org.marjoramgw.side.scheduler.SchedulerActor;
import org.marjoramgw.side.scheduler.SchedulerCommand;
import org.marjoramgw.side.scheduler.SchedulerParameters;
import org.marjoramgw.side.scheduler.TelemetrySinks;
import org.marjoramgw.trace.DecisionLog;
import org.marjoramgw.transport.PekkoTransport;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.wire.MessageCodec;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;
import org.tinylog.Logger;

/**
 * Side process: creates its components, starts them and shuts them down in order.
 *
 * @author The marjoramgw authors
 */
final class SideProcess implements ManageableProcess {

	private static final int MAX_DECISIONS = 10_000;

	private static final int SEND_BUFFER_FRAMES = 8_192;

	private static final int MAX_PLAIN_BODY_BYTES = 1_048_576;

	private static final long PLAIN_BODY_TIMEOUT_MILLIS = 60_000;

	private static final long DRAIN_TIMEOUT_MILLIS = 600_000;

	private static final long LISTEN_TIMEOUT_MILLIS = 10_000;

	private static final long FLUSH_DELAY_MILLIS = 200;

	private final SideSettings settings;

	private final Lifecycle lifecycle;

	private final MillisClock clock = new SystemMillisClock();

	private final PeerIdentity identity;

	private final ActorSystem<Void> system;

	private final MetricRegistry metricRegistry = new MetricRegistry();

	private final DecisionLog decisionLog = new DecisionLog(this.clock, MAX_DECISIONS);

	private final PlatformClients platformClients;

	private final Scheduler scheduler;

	private final ActorRef<SchedulerCommand> schedulerActor;

	private final EntryConnections entryConnections;

	SideProcess(SideSettings settings, Lifecycle lifecycle) {
		this.settings = settings;
		this.lifecycle = lifecycle;
		this.identity = new PeerIdentity(settings.processId(), Vm.SIDE, settings.failureDomain(),
				this.clock.nowMillis(), settings.pool());
		this.system = ActorSystem.create(Behaviors.empty(), "side", ConfigFactory.load("callers"));
		ResultCounters counters = new ResultCounters(this.metricRegistry);
		this.platformClients = new PlatformClients(this.system, settings, this.identity, this.clock, counters,
				this::hasAcceptedEntries);
		SchedulerCommandSender commandSender = new SchedulerCommandSender();
		this.scheduler = new Scheduler(this.clock,
				new SchedulerParameters(settings.processId(), settings.pool(), settings.model(),
						settings.answerKeepMillis()),
				newBackend(), this.platformClients.claimStore(),
				new TelemetrySinks(this.decisionLog, this.metricRegistry), commandSender);
		this.schedulerActor = this.system.systemActorOf(SchedulerActor.create(this.scheduler), "scheduler",
				Props.empty());
		commandSender.bind(this.schedulerActor);
		this.entryConnections = new EntryConnections(this.clock, this.identity, settings.peerToken(),
				new HeartbeatIntervals(settings.heartbeatMillis(), settings.peerTimeoutMillis(),
						settings.idleTimeoutMillis()),
				this.scheduler::status, this.platformClients.configuration(), this.schedulerActor::tell, counters);
	}

	@Override
	public PeerIdentity identity() {
		return this.identity;
	}

	@Override
	public PeerStatus status() {
		return this.scheduler.status();
	}

	@Override
	public void drain() {
		this.lifecycle.requestStop("order to drain", ExitCode.OK);
	}

	/**
	 * Binds the peer and HTTP listeners and prints the ready line.
	 */
	void run() {
		this.lifecycle.exitIfStopping();
		try {
			HostPort peerAddress = new PekkoTransport(this.system, new MessageCodec(), MessageCodec.MAX_FRAME_BYTES,
					SEND_BUFFER_FRAMES)
				.listen(this.settings.peerAddress(), this.entryConnections)
				.toCompletableFuture()
				.get(LISTEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			HostPort httpAddress = listenHttp();
			this.platformClients.configuration()
				.addListener((configuration) -> this.schedulerActor
					.tell(new SchedulerCommand.ConfigurationChanged(configuration)));
			this.platformClients.onLeaving(this.settings.processId(), this::drain);
			this.entryConnections.start(this.system);
			ReadyLine.print(Map.of("http", httpAddress, "peer", peerAddress));
			this.lifecycle.started((requestedMillis) -> stop());
		}
		catch (InterruptedException | ExecutionException | TimeoutException ex) {
			Logger.error(ex, "failed to bind the peer or HTTP listener");
			Runtime.getRuntime().halt(1);
		}
	}

	private HostPort listenHttp() throws InterruptedException, ExecutionException, TimeoutException {
		OperatorRoutes routes = new OperatorRoutes(this, this.decisionLog, this.metricRegistry,
				this.settings.operatorToken());
		HostPort address = this.settings.httpAddress();
		MemoryBudget callerMemory = this.settings.callerLimits().newBudget();
		BoundedHttpServer server = new BoundedHttpServer(this.system, this.settings.callerLimits(), callerMemory);
		ServerGauges.register(this.metricRegistry, server, callerMemory);
		Tcp.ServerBinding binding = server.bind(address, routes.route().handler(this.system))
			.toCompletableFuture()
			.get(LISTEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		return new HostPort(address.host(), binding.localAddress().getPort());
	}

	private Backend newBackend() {
		if (this.settings.model()) {
			return new EngineBackend(this.system, this.settings.backendUrl());
		}
		return new PlainServiceBackend(this.system, this.settings.backendUrl(), PLAIN_BODY_TIMEOUT_MILLIS,
				MAX_PLAIN_BODY_BYTES);
	}

	private boolean hasAcceptedEntries() {
		EntryConnections connections = this.entryConnections;
		return connections != null && connections.hasAcceptedEntries();
	}

	/**
	 * Shuts down gracefully: refuses new requests, informs the entries and waits for
	 * requests in flight to finish.
	 */
	private void stop() {
		Logger.info("leaving with {} requests in flight", status().inFlight());
		this.schedulerActor.tell(new SchedulerCommand.Drain());
		awaitDrained();
		this.entryConnections.close();
		this.platformClients.close();
		Pause.millis(FLUSH_DELAY_MILLIS);
		Logger.info("stopped with {} requests in flight", status().inFlight());
	}

	private void awaitDrained() {
		try {
			this.scheduler.drainStarted().thenRun(this.entryConnections::broadcastStatus);
			this.scheduler.drained().toCompletableFuture().get(DRAIN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			Logger.error(ex, "stopped before the drain completed");
		}
	}

}
