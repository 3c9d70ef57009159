package org.marjoramgw.side.entry;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorSystem;
import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.side.scheduler.SchedulerCommand;
import org.marjoramgw.transport.Connection;
import org.marjoramgw.transport.ConnectionAcceptor;
import org.marjoramgw.transport.ConnectionHandler;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;

/**
 * Connections of all entries, with heartbeats both ways.
 *
 * @author The marjoramgw authors
 */
public final class EntryConnections implements ConnectionAcceptor, AutoCloseable {

	static final int MAX_CONNECTIONS = 2_048;

	private final MillisClock clock;

	private final PeerIdentity self;

	private final String token;

	private final HeartbeatIntervals intervals;

	private final Supplier<PeerStatus> status;

	private final ConfigurationSource configuration;

	private final Consumer<SchedulerCommand> scheduler;

	private final ResultCounters counters;

	private final Set<EntryConnection> connections = ConcurrentHashMap.newKeySet();

	private Cancellable heartbeatTimer;

	/**
	 * Creates the set of connections.
	 * @param clock the clock
	 * @param self identity of this process
	 * @param token token of the deployment
	 * @param intervals times of the heartbeats
	 * @param status what this process does now
	 * @param configuration source of the configuration
	 * @param scheduler takes what the entries say
	 * @param counters counters of why connections were closed
	 */
	public EntryConnections(MillisClock clock, PeerIdentity self, String token, HeartbeatIntervals intervals,
			Supplier<PeerStatus> status, ConfigurationSource configuration, Consumer<SchedulerCommand> scheduler,
			ResultCounters counters) {
		this.clock = clock;
		this.self = self;
		this.token = token;
		this.intervals = intervals;
		this.status = status;
		this.configuration = configuration;
		this.scheduler = scheduler;
		this.counters = counters;
	}

	/**
	 * Starts the heartbeats.
	 * @param system the actor system that runs the timer
	 */
	public void start(ActorSystem<?> system) {
		Duration period = Duration.ofMillis(this.intervals.heartbeatMillis());
		this.heartbeatTimer = system.scheduler()
			.scheduleAtFixedRate(period, period, () -> sendHeartbeats(false), system.executionContext());
	}

	@Override
	public ConnectionHandler accept(Connection connection) {
		EntryConnection accepted = new EntryConnection(connection, this);
		if (this.connections.size() >= MAX_CONNECTIONS) {
			connection.close();
		}
		else {
			this.connections.add(accepted);
		}
		return accepted;
	}

	/**
	 * Tells all entries at once what this process does now.
	 */
	public void broadcastStatus() {
		sendHeartbeats(true);
	}

	/**
	 * Tells whether any entry is connected.
	 * @return whether there is one that was accepted
	 */
	public boolean hasAcceptedEntries() {
		return this.connections.stream().anyMatch((connection) -> connection.peer() != null);
	}

	@Override
	public void close() {
		if (this.heartbeatTimer != null) {
			this.heartbeatTimer.cancel();
		}
		this.connections.forEach(EntryConnection::close);
	}

	void sendHeartbeats(boolean atOnce) {
		PeerStatus now = this.status.get();
		this.connections.forEach((connection) -> connection.checkHeartbeat(now, atOnce));
	}

	HeartbeatIntervals intervals() {
		return this.intervals;
	}

	MillisClock clock() {
		return this.clock;
	}

	PeerIdentity self() {
		return this.self;
	}

	String token() {
		return this.token;
	}

	PeerStatus status() {
		return this.status.get();
	}

	ConfigurationSource configuration() {
		return this.configuration;
	}

	void tell(SchedulerCommand command) {
		this.scheduler.accept(command);
	}

	void remove(EntryConnection connection, ResultCode reason) {
		this.connections.remove(connection);
		this.counters.count(reason);
	}

}
