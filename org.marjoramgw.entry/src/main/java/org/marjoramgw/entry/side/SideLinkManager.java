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
 * Manager of the links to side processes: connects to this entry's subset of the listed
 * side processes, sends heartbeats, and replaces a link on which the peer has been silent
 * without waiting for a TCP timeout.
 *
 * @author The marjoramgw authors
 */
public final class SideLinkManager extends AbstractBehavior<SideLinkManager.Command> {

	private static final int IDLE_HEARTBEATS_PER_SECOND = 24;

	private static final long UNUSED_LINK_TIMEOUT_MILLIS = 10_000;

	private final EntrySettings settings;

	private final PeerIdentity identity;

	private final Supplier<PeerStatus> status;

	private final Transport transport;

	private final MillisClock clock;

	private final OpenRequests openRequests;

	private final ConnectedSides sides;

	private final ResultCounters counters;

	private final SideMessageDispatcher linkListener;

	private final Map<String, SideLink> linkById = new HashMap<>();

	private final ReconnectBackoff reconnectBackoff;

	private final SideSubset subset;

	private SideLinkManager(ActorContext<Command> actorContext, EntrySettings settings, PeerIdentity identity,
			Supplier<PeerStatus> status, ConfigurationSource configuration, Transport transport, MillisClock clock,
			OpenRequests openRequests, ConnectedSides sides, ResultCounters counters) {
		super(actorContext);
		this.settings = settings;
		this.identity = identity;
		this.status = status;
		this.transport = transport;
		this.clock = clock;
		this.openRequests = openRequests;
		this.sides = sides;
		this.counters = counters;
		this.linkListener = new SideMessageDispatcher(settings.peerToken(), openRequests, configuration, counters,
				actorContext.getSelf());
		this.reconnectBackoff = new ReconnectBackoff(clock);
		this.subset = new SideSubset(identity, configuration);
	}

	/**
	 * Creates the behavior of the manager.
	 * @param settings settings of the entry
	 * @param identity identity of the entry
	 * @param status supplier of the current status of the entry
	 * @param configuration source of the configuration
	 * @param transport transport to side processes
	 * @param clock clock for timeouts
	 * @param openRequests open requests
	 * @param sides registry that established links are added to
	 * @param counters counters of result codes
	 * @return the behavior
	 */
	public static Behavior<Command> create(EntrySettings settings, PeerIdentity identity, Supplier<PeerStatus> status,
			ConfigurationSource configuration, Transport transport, MillisClock clock, OpenRequests openRequests,
			ConnectedSides sides, ResultCounters counters) {
		return Behaviors.setup((actorContext) -> Behaviors.withTimers((timers) -> {
			timers.startTimerWithFixedDelay(new Tick(), Duration.ofMillis(settings.heartbeatMillis()));
			return new SideLinkManager(actorContext, settings, identity, status, configuration, transport, clock,
					openRequests, sides, counters);
		}));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(VmsChanged.class, this::onVmsChanged)
			.onMessage(StatusChanged.class, (command) -> onStatusChanged())
			.onMessage(LinkEstablished.class, this::onLinkEstablished)
			.onMessage(LinkClosed.class, this::onLinkClosed)
			.onMessage(Tick.class, (command) -> onTick())
			.build();
	}

	private Behavior<Command> onVmsChanged(VmsChanged command) {
		this.subset.setVms(command.vms());
		return onTick();
	}

	private Behavior<Command> onStatusChanged() {
		this.linkById.values().stream().filter(SideLink::isEstablished).forEach(this::sendHeartbeat);
		return this;
	}

	private Behavior<Command> onLinkEstablished(LinkEstablished command) {
		SideLink link = command.link();
		String sideId = link.vm().id();
		if (this.linkById.get(sideId) != link) {
			return this;
		}
		this.reconnectBackoff.onConnected(sideId);
		this.sides.put(sideId, link);
		Logger.info("connected to side process {}", sideId);
		this.openRequests.tellAll(new RequestEvent.SideConnected(sideId, link.incarnation().orElse(0)));
		return this;
	}

	private Behavior<Command> onLinkClosed(LinkClosed command) {
		String sideId = command.link().vm().id();
		if (this.linkById.get(sideId) == command.link()) {
			drop(command.link(), command.reason());
		}
		return this;
	}

	private Behavior<Command> onTick() {
		Set<String> subsetIds = this.subset.sideIds();
		for (SideLink link : List.copyOf(this.linkById.values())) {
			maintain(link, subsetIds.contains(link.vm().id()));
		}
		for (String sideId : subsetIds) {
			if (!this.linkById.containsKey(sideId) && this.reconnectBackoff.isDue(sideId)) {
				this.subset.listedVm(sideId).ifPresent(this::connect);
			}
		}
		this.reconnectBackoff.retainAll(this.subset.listedIds());
		return this;
	}

	private void maintain(SideLink link, boolean inSubset) {
		Optional<Vm> listed = this.subset.listedVm(link.vm().id());
		boolean addressChanged = listed.filter((vm) -> !vm.peerAddress().equals(link.vm().peerAddress())).isPresent();
		boolean unused = !inSubset && link.idleMillis() > UNUSED_LINK_TIMEOUT_MILLIS;
		if (addressChanged || unused) {
			drop(link, ResultCode.PEER_CLOSED);
			return;
		}
		link.setListedAsLive(inSubset && listed.filter((vm) -> Vm.LIVE.equals(vm.state())).isPresent());
		boolean busy = link.isBusy();
		long intervalMillis = busy ? this.settings.heartbeatMillis() : idleHeartbeatMillis();
		if (link.silentMillis() > this.settings.peerTimeoutMillis() + (busy ? 0 : intervalMillis)) {
			drop(link, ResultCode.PEER_SILENT);
		}
		else if (link.isEstablished() && link.sinceLastSendMillis() >= intervalMillis) {
			sendHeartbeat(link);
		}
	}

	/**
	 * Returns the interval of heartbeats on an idle link. It grows with the number of
	 * links, so that the total rate of heartbeats stays bounded.
	 * @return the interval, in milliseconds
	 */
	private long idleHeartbeatMillis() {
		long rateLimitedMillis = TimeUnit.SECONDS.toMillis(this.linkById.size()) / IDLE_HEARTBEATS_PER_SECOND;
		return Math.max(this.settings.idleHeartbeatMillis(), rateLimitedMillis);
	}

	private void drop(SideLink link, ResultCode reason) {
		String sideId = link.vm().id();
		this.linkById.remove(sideId);
		this.sides.remove(sideId);
		link.close();
		this.counters.count(reason);
		if (link.isEstablished()) {
			Logger.info("lost connection to side process {}: {}", sideId, reason.text());
			this.openRequests.tellAll(new RequestEvent.SideDisconnected(sideId));
			this.subset.listedVm(sideId).ifPresent(this::connect);
		}
		else {
			this.openRequests.tellAll(new RequestEvent.SideUnreachable(sideId));
			this.reconnectBackoff.onFailure(sideId);
		}
	}

	private void connect(Vm vm) {
		this.transport.connect(HostPort.parse(vm.peerAddress()), (connection) -> {
			SideLink link = new SideLink(vm, connection, this.linkListener, this.clock,
					this.settings.peerTimeoutMillis());
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
	 * Message to the manager.
	 */
	public sealed interface Command {

	}

	/**
	 * A new VM list was read.
	 *
	 * @param vms all VMs in the list
	 */
	public record VmsChanged(List<Vm> vms) implements Command {
	}

	/**
	 * The status of this entry changed and is to be sent to the side processes at once.
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
