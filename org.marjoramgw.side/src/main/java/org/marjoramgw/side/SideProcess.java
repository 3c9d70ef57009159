package org.marjoramgw.side;

import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.MetricRegistry;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.operator.OperatedProcess;
import org.marjoramgw.operator.OperatorRoutes;
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
import org.marjoramgw.side.scheduler.SchedulerRecorder;
import org.marjoramgw.trace.DecisionLog;
import org.marjoramgw.transport.PekkoTransport;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.wire.MessageCodec;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;
import org.tinylog.Logger;

/**
 * Side process: wires its parts, starts them and stops them in order.
 *
 * @author The marjoramgw authors
 */
final class SideProcess implements OperatedProcess {

	private static final int MAX_DECISIONS = 10_000;

	private static final int BUFFER_FRAMES = 8_192;

	private static final int MAX_PLAIN_BODY_BYTES = 1_048_576;

	private static final long PLAIN_BODY_MILLIS = 60_000;

	private static final long MAX_DRAIN_MILLIS = 600_000;

	private static final long START_MILLIS = 10_000;

	private static final long LAST_WRITES_MILLIS = 200;

	private final SideSettings settings;

	private final MillisClock clock = new SystemMillisClock();

	private final PeerIdentity identity;

	private final ActorSystem<Void> system;

	private final MetricRegistry registry = new MetricRegistry();

	private final DecisionLog decisions = new DecisionLog(this.clock, MAX_DECISIONS);

	private final Platform platform;

	private final Scheduler scheduler;

	private final ActorRef<SchedulerCommand> actor;

	private final EntryConnections entries;

	private final AtomicBoolean leaving = new AtomicBoolean();

	SideProcess(SideSettings settings) {
		this.settings = settings;
		this.identity = new PeerIdentity(settings.processId(), Vm.SIDE, settings.failureDomain(),
				this.clock.nowMillis(), settings.pool());
		this.system = ActorSystem.create(Behaviors.empty(), "side");
		ResultCounters counters = new ResultCounters(this.registry);
		this.platform = new Platform(this.system, settings, this.identity, this.clock, counters, this::hasEntries);
		CommandInbox inbox = new CommandInbox();
		this.scheduler = new Scheduler(this.clock,
				new SchedulerParameters(settings.processId(), settings.pool(), settings.model(),
						settings.answerKeepMillis()),
				newBackend(), this.platform.claimBook(), new SchedulerRecorder(this.decisions, this.registry), inbox);
		this.actor = this.system.systemActorOf(SchedulerActor.create(this.scheduler), "scheduler", Props.empty());
		inbox.open(this.actor);
		this.entries = new EntryConnections(this.clock, this.identity, settings.peerToken(),
				new HeartbeatIntervals(settings.heartbeatMillis(), settings.peerTimeoutMillis(),
						settings.idleTimeoutMillis()),
				this.scheduler::status, this.platform.configuration(), this.actor::tell, counters);
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
		if (this.leaving.compareAndSet(false, true)) {
			new Thread(() -> System.exit(0), "drain").start();
		}
	}

	/**
	 * Starts listening and prints the ready line.
	 */
	void run() {
		try {
			HostPort peerAddress = new PekkoTransport(this.system, new MessageCodec(), MessageCodec.MAX_FRAME_BYTES,
					BUFFER_FRAMES)
				.listen(this.settings.peerAddress(), this.entries)
				.toCompletableFuture()
				.get(START_MILLIS, TimeUnit.MILLISECONDS);
			HostPort httpAddress = listenHttp();
			Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "stop"));
			this.platform.configuration()
				.addListener((configuration) -> this.actor.tell(new SchedulerCommand.Configured(configuration)));
			this.platform.whenLeaving(this.settings.processId(), this::drain);
			this.entries.start(this.system);
			ReadyLine.print(Map.of("http", httpAddress, "peer", peerAddress));
		}
		catch (InterruptedException | ExecutionException | TimeoutException ex) {
			Logger.error(ex, "can't listen");
			Runtime.getRuntime().halt(1);
		}
	}

	private HostPort listenHttp() throws InterruptedException, ExecutionException, TimeoutException {
		OperatorRoutes routes = new OperatorRoutes(this, this.decisions, this.registry, this.settings.operatorToken());
		HostPort address = this.settings.httpAddress();
		ServerBinding binding = Http.get(this.system)
			.newServerAt(address.host(), address.port())
			.bind(routes.route())
			.toCompletableFuture()
			.get(START_MILLIS, TimeUnit.MILLISECONDS);
		return new HostPort(address.host(), binding.localAddress().getPort());
	}

	private Backend newBackend() {
		if (this.settings.model()) {
			return new EngineBackend(this.system, this.settings.backendUrl());
		}
		return new PlainServiceBackend(this.system, this.settings.backendUrl(), PLAIN_BODY_MILLIS,
				MAX_PLAIN_BODY_BYTES);
	}

	private boolean hasEntries() {
		EntryConnections connections = this.entries;
		return connections != null && connections.isAnyGreeted();
	}

	/**
	 * Stops in order: refuses new work, tells the entries, finishes what is in flight.
	 */
	private void stop() {
		this.leaving.set(true);
		Logger.info("leaving with {} requests in flight", status().inFlight());
		this.actor.tell(new SchedulerCommand.Drain());
		awaitDrained();
		this.entries.close();
		this.platform.close();
		Pause.millis(LAST_WRITES_MILLIS);
		Logger.info("stopped with {} requests in flight", status().inFlight());
	}

	private void awaitDrained() {
		try {
			this.scheduler.left().thenRun(this.entries::announce);
			this.scheduler.drained().toCompletableFuture().get(MAX_DRAIN_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (ExecutionException | TimeoutException ex) {
			Logger.error(ex, "stopped before everything was finished");
		}
	}

}
