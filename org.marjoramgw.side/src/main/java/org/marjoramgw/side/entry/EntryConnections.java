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
 * Accepts and holds the connections from entries and sends heartbeats on them.
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
	 * Creates an acceptor without connections.
	 * @param clock the source of the current time
	 * @param self identity of this process
	 * @param token token that entries must present
	 * @param intervals heartbeat interval and timeouts
	 * @param status supplies the status of this process
	 * @param configuration source of the configuration
	 * @param scheduler receives the messages of the entries as commands
	 * @param counters counters of result codes, used for the reasons of closed
	 * connections
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
	 * Starts the heartbeat timer.
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
	 * Sends the status of this process to all entries without waiting for the next
	 * heartbeat.
	 */
	public void broadcastStatus() {
		sendHeartbeats(true);
	}

	/**
	 * Returns whether at least one entry is connected and passed the hello checks.
	 * @return whether there is such an entry
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

	void sendHeartbeats(boolean force) {
		PeerStatus currentStatus = this.status.get();
		this.connections.forEach((connection) -> connection.checkHeartbeat(currentStatus, force));
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
