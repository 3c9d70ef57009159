package org.marjoramgw.direct.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.time.AgeClock;
import org.marjoramgw.time.ClockReading;
import org.tinylog.Logger;

/**
 * Backend servers that are registered and not leaving; thread-safe.
 * <p>
 * A registration may lapse because the store was away and not because the server left.
 * One that disappears in such a time, or before live servers had time to register again
 * after it, stays usable until that time is over, and no longer.
 *
 * @author The marjoramgw authors
 */
public final class ServerDirectory implements TopicListener {

	/**
	 * Time after the store's return within which live servers register again, in
	 * milliseconds: two seconds, less what a request needs to reach a server that left.
	 */
	private static final long LAPSE_GRACE_MILLIS = 1_900;

	private final ServerDecoder decoder;

	private final AgeClock clock;

	private final Map<String, Entry> entryById = new HashMap<>();

	private boolean reachable = true;

	/** When the first read that was answered after an outage was sent. */
	private ClockReading returned;

	private boolean complete;

	/**
	 * Creates an empty directory.
	 * @param decoder decodes registrations
	 * @param clock clock for ages
	 */
	public ServerDirectory(ServerDecoder decoder, AgeClock clock) {
		this.decoder = decoder;
		this.clock = clock;
	}

	/**
	 * Returns the servers of a service that may get work.
	 * @param service name of the service
	 * @return the servers
	 */
	public synchronized List<BackendServer> usable(String service) {
		List<BackendServer> usable = new ArrayList<>();
		for (Entry entry : this.entryById.values()) {
			if (entry.server.service().equals(service) && isUsable(entry)) {
				usable.add(entry.server);
			}
		}
		return usable;
	}

	/**
	 * Tells whether a server may still get work.
	 * @param id id of the server
	 * @return whether it is registered and not leaving
	 */
	public synchronized boolean isUsable(String id) {
		Entry entry = this.entryById.get(id);
		return entry != null && isUsable(entry);
	}

	/**
	 * Tells whether registrations were ever read.
	 * @return whether they were
	 */
	public synchronized boolean isComplete() {
		return this.complete;
	}

	/**
	 * Drops a server whose address answers for another one.
	 * @param id id of the server
	 */
	public synchronized void drop(String id) {
		if (this.entryById.remove(id) != null) {
			Logger.info("backend server {} dropped: its address answers for another one", id);
		}
	}

	/**
	 * Returns all servers that are known.
	 * @return ids of the servers
	 */
	public synchronized Set<String> ids() {
		return Set.copyOf(this.entryById.keySet());
	}

	@Override
	public synchronized void onSnapshot(List<KeyedRecord> records) {
		Set<String> present = new HashSet<>();
		records.forEach((record) -> present.add(record.key()));
		for (String id : Set.copyOf(this.entryById.keySet())) {
			if (!present.contains(id)) {
				remove(id);
			}
		}
		onRecords(records);
		this.complete = true;
	}

	@Override
	public synchronized void onRecords(List<KeyedRecord> records) {
		for (KeyedRecord record : records) {
			Optional<BackendServer> server = record.value()
				.flatMap((value) -> this.decoder.decode(record.key(), value));
			if (server.isPresent()) {
				put(server.get());
			}
			else {
				remove(record.key());
			}
		}
	}

	@Override
	public synchronized void onConfirmed(ClockReading moment) {
		if (!this.reachable) {
			this.returned = moment;
		}
		this.reachable = true;
		this.entryById.values().removeIf(this::isLapsed);
	}

	@Override
	public synchronized void onUnreachable() {
		this.reachable = false;
	}

	private void put(BackendServer server) {
		Entry before = this.entryById.put(server.id(), new Entry(server));
		if (before == null || before.server.draining() != server.draining()) {
			Logger.info("backend server {} of {} at {} {}", server.id(), server.service(), server.address(),
					server.draining() ? "is leaving" : "is usable");
		}
	}

	private void remove(String id) {
		Entry entry = this.entryById.get(id);
		if (entry == null) {
			return;
		}
		if (entry.server.draining() || hadTimeToRegister()) {
			this.entryById.remove(id);
			Logger.info("backend server {} is gone", id);
			return;
		}
		if (!entry.lapsed) {
			entry.lapsed = true;
			Logger.info("registration of backend server {} lapsed while the store was away", id);
		}
	}

	/**
	 * Tells whether live servers are registered again after the last outage.
	 * @return whether they had time to, or there was no outage
	 */
	private boolean hadTimeToRegister() {
		return this.reachable && (this.returned == null || this.clock.ageMillis(this.returned) > LAPSE_GRACE_MILLIS);
	}

	private boolean isUsable(Entry entry) {
		return !entry.server.draining() && !isLapsed(entry);
	}

	private boolean isLapsed(Entry entry) {
		return entry.lapsed && hadTimeToRegister();
	}

	/**
	 * Decodes the registration of a backend server.
	 */
	@FunctionalInterface
	public interface ServerDecoder {

		/**
		 * Decodes a registration.
		 * @param id id of the server
		 * @param value bytes of the registration
		 * @return the server, or empty if the bytes name none
		 */
		Optional<BackendServer> decode(String id, byte[] value);

	}

	private static final class Entry {

		private final BackendServer server;

		private boolean lapsed;

		private Entry(BackendServer server) {
			this.server = server;
		}

	}

}
