package org.marjoramgw.load.capacity;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.marjoramgw.HostPort;
import org.marjoramgw.transport.Transport;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerIdentity;
import org.marjoramgw.wire.PeerStatus;

/**
 * Fake entries, each with one connection to the same real side process.
 *
 * @author The marjoramgw authors
 */
final class FakeEntries implements AutoCloseable {

	private static final long HEARTBEAT_MILLIS = 1_000;

	private final Transport transport;

	private final HostPort address;

	private final TrafficCounter trafficCounter;

	private final BiConsumer<FakePeerConnection, Message> messageHandler;

	private final List<FakePeerConnection> connections = new CopyOnWriteArrayList<>();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	FakeEntries(Transport transport, HostPort address, TrafficCounter trafficCounter,
			BiConsumer<FakePeerConnection, Message> messageHandler) {
		this.transport = transport;
		this.address = address;
		this.trafficCounter = trafficCounter;
		this.messageHandler = messageHandler;
	}

	/**
	 * Adds entries until there are {@code total}.
	 * @param total number of entries
	 */
	void growTo(int total) {
		while (this.connections.size() < total) {
			PeerIdentity identity = new PeerIdentity("fake-entry-" + this.connections.size(), "entry", "dal-a",
					System.currentTimeMillis(), "");
			this.transport.connect(this.address, (connection) -> {
				FakePeerConnection peer = new FakePeerConnection(connection, identity,
						new PeerStatus(1, false, 0, 0, 0), this.trafficCounter, this.messageHandler);
				this.connections.add(peer);
				peer.sendHello();
				return peer;
			});
			FakePeerConnection added = this.connections.get(this.connections.size() - 1);
			long initialDelayMillis = (this.connections.size() * 37L) % HEARTBEAT_MILLIS;
			this.timer.scheduleAtFixedRate(added::sendHeartbeat, initialDelayMillis, HEARTBEAT_MILLIS,
					TimeUnit.MILLISECONDS);
		}
	}

	FakePeerConnection first() {
		return this.connections.get(0);
	}

	long openCount() {
		return this.connections.stream().filter(FakePeerConnection::isOpen).count();
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.connections.forEach(FakePeerConnection::close);
	}

}
