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
	private static final long REREGISTRATION_GRACE_MILLIS = 1_900;

	private final ServerDecoder decoder;

	private final AgeClock clock;

	private final Map<String, Registration> registrationById = new HashMap<>();

	private boolean reachable = true;

	/** When the first read that was answered after an outage was sent. */
	private ClockReading reachableAgainSince;

	private boolean loaded;

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
		for (Registration entry : this.registrationById.values()) {
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
		Registration entry = this.registrationById.get(id);
		return entry != null && isUsable(entry);
	}

	/**
	 * Tells whether registrations were ever read.
	 * @return whether they were
	 */
	public synchronized boolean isLoaded() {
		return this.loaded;
	}

	/**
	 * Drops a server whose address answers for another one.
	 * @param id id of the server
	 */
	public synchronized void drop(String id) {
		if (this.registrationById.remove(id) != null) {
			Logger.info("backend server {} dropped: its address answers for another one", id);
		}
	}

	/**
	 * Returns all servers that are known.
	 * @return ids of the servers
	 */
	public synchronized Set<String> serverIds() {
		return Set.copyOf(this.registrationById.keySet());
	}

	@Override
	public synchronized void onSnapshot(List<KeyedRecord> records) {
		Set<String> present = new HashSet<>();
		records.forEach((record) -> present.add(record.key()));
		for (String id : Set.copyOf(this.registrationById.keySet())) {
			if (!present.contains(id)) {
				remove(id);
			}
		}
		onRecords(records);
		this.loaded = true;
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
			this.reachableAgainSince = moment;
		}
		this.reachable = true;
		this.registrationById.values().removeIf(this::isLapsed);
	}

	@Override
	public synchronized void onUnreachable() {
		this.reachable = false;
	}

	private void put(BackendServer server) {
		Registration before = this.registrationById.put(server.id(), new Registration(server));
		if (before == null || before.server.draining() != server.draining()) {
			Logger.info("backend server {} of {} at {} {}", server.id(), server.service(), server.address(),
					server.draining() ? "is leaving" : "is usable");
		}
	}

	private void remove(String id) {
		Registration entry = this.registrationById.get(id);
		if (entry == null) {
			return;
		}
		if (entry.server.draining() || hadTimeToRegister()) {
			this.registrationById.remove(id);
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
		return this.reachable && (this.reachableAgainSince == null
				|| this.clock.ageMillis(this.reachableAgainSince) > REREGISTRATION_GRACE_MILLIS);
	}

	private boolean isUsable(Registration entry) {
		return !entry.server.draining() && !isLapsed(entry);
	}

	private boolean isLapsed(Registration entry) {
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

	private static final class Registration {

		private final BackendServer server;

		private boolean lapsed;

		private Registration(BackendServer server) {
			this.server = server;
		}

	}

}
