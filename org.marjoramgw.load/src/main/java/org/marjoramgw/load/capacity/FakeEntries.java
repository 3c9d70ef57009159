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

	private final WireCount count;

	private final BiConsumer<FakeLink, Message> work;

	private final List<FakeLink> links = new CopyOnWriteArrayList<>();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	FakeEntries(Transport transport, HostPort address, WireCount count, BiConsumer<FakeLink, Message> work) {
		this.transport = transport;
		this.address = address;
		this.count = count;
		this.work = work;
	}

	/**
	 * Adds entries until there are as many as wanted.
	 * @param total how many
	 */
	void grow(int total) {
		while (this.links.size() < total) {
			PeerIdentity identity = new PeerIdentity("fake-entry-" + this.links.size(), "entry", "dal-a",
					System.currentTimeMillis(), "");
			this.transport.connect(this.address, (connection) -> {
				FakeLink link = new FakeLink(connection, identity, new PeerStatus(1, false, 0, 0, 0), this.count,
						this.work);
				this.links.add(link);
				link.greet();
				return link;
			});
			FakeLink added = this.links.get(this.links.size() - 1);
			long phaseMillis = (this.links.size() * 37L) % HEARTBEAT_MILLIS;
			this.timer.scheduleAtFixedRate(added::beat, phaseMillis, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	FakeLink first() {
		return this.links.get(0);
	}

	long openCount() {
		return this.links.stream().filter(FakeLink::isOpen).count();
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.links.forEach(FakeLink::close);
	}

}
