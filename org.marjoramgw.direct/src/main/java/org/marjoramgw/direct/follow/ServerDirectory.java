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
 * Directory of the registered backend servers; thread-safe.
 * <p>
 * A registration may lapse because the store was unreachable and not because the server
 * left. A server whose registration disappears during an outage of the store, or in the
 * grace period in which live servers register again after it, stays usable until the end
 * of the grace period.
 *
 * @author The marjoramgw authors
 */
public final class ServerDirectory implements TopicListener {

	private final ServerDecoder decoder;

	private final Map<String, Registration> registrationById = new HashMap<>();

	private final LeavingServers leavingServers = new LeavingServers();

	private final PausedServers pausedServers;

	private final OutageGrace grace;

	private boolean loaded;

	/**
	 * Creates an empty directory.
	 * @param decoder decoder of registrations
	 * @param clock clock that measures ages
	 */
	public ServerDirectory(ServerDecoder decoder, AgeClock clock) {
		this.decoder = decoder;
		this.grace = new OutageGrace(clock);
		this.pausedServers = new PausedServers(() -> clock.now().monotonicMillis());
	}

	/**
	 * Returns the usable servers of a service.
	 * @param service name of the service
	 * @return the servers
	 */
	public synchronized List<BackendServer> usable(String service) {
		List<BackendServer> usable = new ArrayList<>();
		for (Registration registration : this.registrationById.values()) {
			if (registration.server.service().equals(service) && obstacle(registration.server).isEmpty()) {
				usable.add(registration.server);
			}
		}
		return usable;
	}

	/**
	 * Returns the servers of a service, usable or not.
	 * @param service name of the service
	 * @return the servers
	 */
	public synchronized List<BackendServer> registered(String service) {
		return this.registrationById.values()
			.stream()
			.map((registration) -> registration.server)
			.filter((server) -> server.service().equals(service))
			.toList();
	}

	/**
	 * Returns all servers, usable or not.
	 * @return the servers
	 */
	public synchronized List<BackendServer> all() {
		return this.registrationById.values().stream().map((registration) -> registration.server).toList();
	}

	/**
	 * Tells whether a server was started again since it was chosen.
	 * @param server the server as it was chosen
	 * @return whether another start or version is registered under its id
	 */
	public synchronized boolean isReplaced(BackendServer server) {
		Registration registration = this.registrationById.get(server.id());
		return registration != null && !registration.server.isSameRun(server);
	}

	/**
	 * Counts the servers of a service, for the log.
	 * @param service name of the service
	 * @return log fields with the number of those that are registered, whose registration
	 * is draining, that said that they leave, and that asked for no requests
	 */
	public synchronized String describe(String service) {
		List<BackendServer> registered = registered(service);
		return "registered=" + registered.size() + " draining="
				+ registered.stream().filter(BackendServer::draining).count() + " said_leaving="
				+ registered.stream().filter(this.leavingServers::contains).count() + " paused="
				+ registered.stream().filter(this.pausedServers::contains).count();
	}

	/**
	 * Tells whether a server may receive requests.
	 * @param id id of the server
	 * @return whether it is registered and not leaving
	 */
	public synchronized boolean isUsable(String id) {
		Registration registration = this.registrationById.get(id);
		return registration != null && obstacle(registration.server).isEmpty();
	}

	/**
	 * Records that a server has said in an answer that it leaves. From now on this
	 * incarnation isn't usable, whatever its registration says.
	 * @param server the server that the request was sent to
	 * @return whether this was unknown
	 */
	public synchronized boolean onLeaving(BackendServer server) {
		boolean unknown = this.leavingServers.add(server, this.registrationById::containsKey);
		if (unknown) {
			Logger.info("backend server {} of {} at {} said in an answer that it leaves", server.id(), server.service(),
					server.address());
		}
		return unknown;
	}

	/**
	 * Records that a server has asked this process to send no requests for a time.
	 * @param server the server that the request was sent to
	 * @param millis for how long, in milliseconds
	 * @return whether it was not paused before
	 */
	public synchronized boolean onPause(BackendServer server, long millis) {
		boolean unknown = this.pausedServers.add(server, millis);
		if (unknown) {
			Logger.info("backend server {} of {} asked for no requests for {} ms", server.id(), server.service(),
					millis);
		}
		return unknown;
	}

	/**
	 * Returns why a server that was chosen may not receive requests.
	 * @param server the server
	 * @return the reason, or empty if it may
	 */
	public synchronized Optional<String> obstacle(BackendServer server) {
		if (this.leavingServers.contains(server)) {
			return Optional.of("it said that it leaves");
		}
		if (this.pausedServers.contains(server)) {
			return Optional.of("it asked for no requests");
		}
		Registration registration = this.registrationById.get(server.id());
		if (registration == null || isLapsed(registration)) {
			return Optional.of("its registration is gone");
		}
		if (!registration.server.version().equals(server.version())) {
			return Optional.of("its registration has another version");
		}
		return registration.server.draining() ? Optional.of("its registration is draining") : Optional.empty();
	}

	/**
	 * Tells whether a snapshot of the registrations has been loaded.
	 * @return whether it has been loaded
	 */
	public synchronized boolean isLoaded() {
		return this.loaded;
	}

	/**
	 * Removes a server whose address belongs to another server.
	 * @param id id of the server
	 */
	public synchronized void drop(String id) {
		if (this.registrationById.remove(id) != null) {
			Logger.info("backend server {} dropped: its address belongs to another server", id);
		}
	}

	/**
	 * Returns the ids of all servers in this directory, usable or not.
	 * @return the ids
	 */
	public synchronized Set<String> serverIds() {
		return Set.copyOf(this.registrationById.keySet());
	}

	/**
	 * Returns the number of servers in this directory, usable or not.
	 * @return the number of servers of all services
	 */
	public synchronized int count() {
		return this.registrationById.size();
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
			Optional<BackendServer> server = record.value().flatMap((value) -> decode(record.key(), value));
			if (server.isPresent()) {
				put(server.get());
			}
			else {
				remove(record.key());
			}
		}
	}

	@Override
	public synchronized void onConfirmed(ClockReading confirmedAt) {
		this.grace.onReachable(confirmedAt);
		this.registrationById.values().removeIf(this::isLapsed);
	}

	@Override
	public synchronized void onUnreachable() {
		this.grace.onUnreachable();
	}

	/**
	 * Decodes a registration. Whatever another writer has left under a key must not keep
	 * the other servers from being followed.
	 * @param id id of the server
	 * @param value value of the record
	 * @return the server, or empty if the record is undecodable
	 */
	private Optional<BackendServer> decode(String id, byte[] value) {
		try {
			return this.decoder.decode(id, value);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "can't decode registration {}", id);
			return Optional.empty();
		}
	}

	private void put(BackendServer server) {
		Registration previous = this.registrationById.put(server.id(), new Registration(server));
		if (previous == null || previous.server.draining() != server.draining()) {
			Logger.info("backend server {} of {} at {} version={} {}", server.id(), server.service(), server.address(),
					server.version(), server.draining() ? "is leaving" : "is usable");
		}
	}

	private void remove(String id) {
		Registration registration = this.registrationById.get(id);
		if (registration == null) {
			return;
		}
		if (registration.server.draining() || this.grace.isOver()) {
			this.registrationById.remove(id);
			Logger.info("backend server {} is gone", id);
			return;
		}
		if (!registration.lapsed) {
			registration.lapsed = true;
			Logger.info("registration of backend server {} lapsed while the store was unreachable", id);
		}
	}

	private boolean isLapsed(Registration registration) {
		return registration.lapsed && this.grace.isOver();
	}

	/**
	 * Decoder of the registrations of backend servers.
	 */
	@FunctionalInterface
	public interface ServerDecoder {

		/**
		 * Decodes a registration.
		 * @param id id of the server
		 * @param value value of the record
		 * @return the server, or empty if the record is undecodable
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
