package org.marjoramgw.entry.side;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.entry.EntrySettings;
import org.marjoramgw.entry.dispatch.OpenRequests;
import org.marjoramgw.entry.dispatch.RequestEvent;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.transport.Transport;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.MessageCodec;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;
import org.tinylog.Logger;

/**
 * Keeper of the links: connects to its subset of the listed side processes, sends
 * heartbeats, and replaces a link that went silent without waiting for TCP.
 *
 * @author The marjoramgw authors
 */
public final class SideLinkManager extends AbstractBehavior<SideLinkManager.Command> {

	private static final int IDLE_HEARTBEATS_PER_SECOND = 24;

	private static final long UNWANTED_LINK_MILLIS = 10_000;

	private final EntrySettings settings;

	private final PeerIdentity identity;

	private final Supplier<PeerStatus> status;

	private final Transport transport;

	private final MillisClock clock;

	private final OpenRequests open;

	private final ConnectedSides sides;

	private final ResultCounters counters;

	private final SideMessageDispatcher inbox;

	private final Map<String, SideLink> linkById = new HashMap<>();

	private final ReconnectBackoff reconnects;

	private final SideSubset wanted;

	private SideLinkManager(ActorContext<Command> actor, EntrySettings settings, PeerIdentity identity,
			Supplier<PeerStatus> status, ConfigurationSource configuration, Transport transport, MillisClock clock,
			OpenRequests open, ConnectedSides sides, ResultCounters counters) {
		super(actor);
		this.settings = settings;
		this.identity = identity;
		this.status = status;
		this.transport = transport;
		this.clock = clock;
		this.open = open;
		this.sides = sides;
		this.counters = counters;
		this.inbox = new SideMessageDispatcher(settings.peerToken(), open, configuration, counters, actor.getSelf());
		this.reconnects = new ReconnectBackoff(clock);
		this.wanted = new SideSubset(identity, configuration);
	}

	/**
	 * Creates the behavior.
	 * @param settings settings of the entry
	 * @param identity identity of the entry
	 * @param status present status of the entry
	 * @param configuration source of the configuration
	 * @param transport transport to side processes
	 * @param clock the clock
	 * @param open open requests
	 * @param sides where usable links are published
	 * @param counters counters of results
	 * @return the behavior
	 */
	public static Behavior<Command> create(EntrySettings settings, PeerIdentity identity, Supplier<PeerStatus> status,
			ConfigurationSource configuration, Transport transport, MillisClock clock, OpenRequests open,
			ConnectedSides sides, ResultCounters counters) {
		return Behaviors.setup((actor) -> Behaviors.withTimers((timers) -> {
			timers.startTimerWithFixedDelay(new Tick(), Duration.ofMillis(settings.heartbeatMillis()));
			return new SideLinkManager(actor, settings, identity, status, configuration, transport, clock, open, sides,
					counters);
		}));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(VmsChanged.class, this::onVmsChanged)
			.onMessage(StatusChanged.class, (command) -> onStatusChanged())
			.onMessage(LinkEstablished.class, this::onGreeted)
			.onMessage(LinkClosed.class, this::onClosed)
			.onMessage(Tick.class, (command) -> onTick())
			.build();
	}

	private Behavior<Command> onVmsChanged(VmsChanged command) {
		this.wanted.setVms(command.vms());
		return onTick();
	}

	private Behavior<Command> onStatusChanged() {
		this.linkById.values().stream().filter(SideLink::isGreeted).forEach(this::sendHeartbeat);
		return this;
	}

	private Behavior<Command> onGreeted(LinkEstablished command) {
		SideLink link = command.link();
		String sideId = link.vm().id();
		if (this.linkById.get(sideId) != link) {
			return this;
		}
		this.reconnects.reached(sideId);
		this.sides.put(sideId, link);
		Logger.info("connected to side process {}", sideId);
		this.open.tellAll(new RequestEvent.SideConnected(sideId, link.incarnation().orElse(0)));
		return this;
	}

	private Behavior<Command> onClosed(LinkClosed command) {
		String sideId = command.link().vm().id();
		if (this.linkById.get(sideId) == command.link()) {
			drop(command.link(), command.reason());
		}
		return this;
	}

	private Behavior<Command> onTick() {
		Set<String> wantedIds = this.wanted.ids();
		for (SideLink link : List.copyOf(this.linkById.values())) {
			keep(link, wantedIds.contains(link.vm().id()));
		}
		for (String sideId : wantedIds) {
			if (!this.linkById.containsKey(sideId) && this.reconnects.isDue(sideId)) {
				this.wanted.vm(sideId).ifPresent(this::connect);
			}
		}
		this.reconnects.retain(this.wanted.listedIds());
		return this;
	}

	private void keep(SideLink link, boolean inSubset) {
		Optional<Vm> listed = this.wanted.vm(link.vm().id());
		boolean moved = listed.filter((vm) -> !vm.peerAddress().equals(link.vm().peerAddress())).isPresent();
		boolean unused = !inSubset && link.idleMillis() > UNWANTED_LINK_MILLIS;
		if (moved || unused) {
			drop(link, ResultCode.PEER_CLOSED);
			return;
		}
		link.listAsLive(inSubset && listed.filter((vm) -> Vm.LIVE.equals(vm.state())).isPresent());
		boolean busy = link.isBusy();
		long intervalMillis = busy ? this.settings.heartbeatMillis() : idleIntervalMillis();
		if (link.silentMillis() > this.settings.peerTimeoutMillis() + (busy ? 0 : intervalMillis)) {
			drop(link, ResultCode.PEER_SILENT);
		}
		else if (link.isGreeted() && link.quietMillis() >= intervalMillis) {
			sendHeartbeat(link);
		}
	}

	/**
	 * Returns the interval of heartbeats on an idle link; it grows with the number of
	 * links, so that the total rate stays flat.
	 * @return the interval, in milliseconds
	 */
	private long idleIntervalMillis() {
		long flatMillis = TimeUnit.SECONDS.toMillis(this.linkById.size()) / IDLE_HEARTBEATS_PER_SECOND;
		return Math.max(this.settings.idleHeartbeatMillis(), flatMillis);
	}

	private void drop(SideLink link, ResultCode reason) {
		String sideId = link.vm().id();
		this.linkById.remove(sideId);
		this.sides.remove(sideId);
		link.close();
		this.counters.count(reason);
		if (link.isGreeted()) {
			Logger.info("lost side process {}: {}", sideId, reason.text());
			this.open.tellAll(new RequestEvent.SideDisconnected(sideId));
			this.wanted.vm(sideId).ifPresent(this::connect);
		}
		else {
			this.open.tellAll(new RequestEvent.SideUnreachable(sideId));
			this.reconnects.failed(sideId);
		}
	}

	private void connect(Vm vm) {
		this.transport.connect(HostPort.parse(vm.peerAddress()), (connection) -> {
			SideLink link = new SideLink(vm, connection, this.inbox, this.clock, this.settings.peerTimeoutMillis());
			this.linkById.put(vm.id(), link);
			link.send(new Message.Hello(MessageCodec.VERSION, this.settings.peerToken(), this.identity,
					this.status.get()));
			return link;
		});
	}

	private void sendHeartbeat(SideLink link) {
		link.send(new Message.Heartbeat(this.status.get()));
	}

	/**
	 * Message to the directory.
	 */
	public sealed interface Command {

	}

	/**
	 * The VM list was read.
	 *
	 * @param vms the VMs
	 */
	public record VmsChanged(List<Vm> vms) implements Command {
	}

	/**
	 * The entry's own status changed and peers should learn it at once.
	 */
	public record StatusChanged() implements Command {
	}

	record LinkEstablished(SideLink link) implements Command {
	}

	record LinkClosed(SideLink link, ResultCode reason) implements Command {
	}

	record Tick() implements Command {
	}

}
