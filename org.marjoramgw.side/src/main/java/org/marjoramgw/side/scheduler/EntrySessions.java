package org.marjoramgw.side.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.wire.PeerIdentity;

/**
 * Known entries by incarnation, each with its open connections.
 *
 * @author The marjoramgw authors
 */
final class EntrySessions {

	private final Map<EntryIncarnation, Session> sessions = new HashMap<>();

	/**
	 * Registers a connection and removes the earlier incarnations of its entry.
	 * @param link the connection
	 * @return the earlier incarnations, which no longer run
	 */
	List<EntryIncarnation> onConnected(EntryLink link) {
		EntryIncarnation entry = EntryIncarnation.of(link.peer());
		this.sessions.computeIfAbsent(entry, (key) -> new Session()).links.add(link);
		List<EntryIncarnation> earlier = new ArrayList<>();
		for (EntryIncarnation known : this.sessions.keySet()) {
			if (known.isEarlierThan(entry)) {
				earlier.add(known);
			}
		}
		earlier.forEach(this.sessions::remove);
		return earlier;
	}

	void onDisconnected(EntryLink link, long nowMillis) {
		Session session = this.sessions.get(EntryIncarnation.of(link.peer()));
		if (session != null && session.links.remove(link)) {
			session.disconnectedMillis = nowMillis;
		}
	}

	/**
	 * Updates on each connection whether it has open requests.
	 * @param busyLinks the connections with open requests
	 */
	void updateOpenRequests(Set<EntryLink> busyLinks) {
		for (Session session : this.sessions.values()) {
			session.links.forEach((link) -> link.setOpenRequests(busyLinks.contains(link)));
		}
	}

	/**
	 * Returns when the entry of a request was last connected.
	 * @param key the request
	 * @param nowMillis the current time, in milliseconds
	 * @return the current time if the entry is connected, 0 if the entry is unknown, else
	 * the time when its last connection closed, in milliseconds
	 */
	long lastSeenMillis(RequestKey key, long nowMillis) {
		Session session = this.sessions.get(new EntryIncarnation(key.entryId(), key.incarnation()));
		if (session == null) {
			return 0;
		}
		return session.links.isEmpty() ? session.disconnectedMillis : nowMillis;
	}

	/**
	 * Removes the entries that have been disconnected for too long.
	 * @param disconnectedBeforeMillis time before which their last connection closed, in
	 * milliseconds
	 * @return the removed incarnations
	 */
	List<EntryIncarnation> removeDisconnected(long disconnectedBeforeMillis) {
		List<EntryIncarnation> removed = new ArrayList<>();
		this.sessions.forEach((entry, session) -> {
			if (session.links.isEmpty() && session.disconnectedMillis < disconnectedBeforeMillis) {
				removed.add(entry);
			}
		});
		removed.forEach(this.sessions::remove);
		return removed;
	}

	/**
	 * One incarnation of an entry.
	 *
	 * @param processId process id of the entry
	 * @param incarnation number that rises with each start of the entry
	 */
	record EntryIncarnation(String processId, long incarnation) {

		static EntryIncarnation of(PeerIdentity peer) {
			return new EntryIncarnation(peer.processId(), peer.incarnation());
		}

		boolean isEarlierThan(EntryIncarnation other) {
			return this.processId.equals(other.processId) && this.incarnation < other.incarnation;
		}

		boolean owns(RequestKey key) {
			return this.processId.equals(key.entryId()) && this.incarnation == key.incarnation();
		}

	}

	private static final class Session {

		private final Set<EntryLink> links = new HashSet<>();

		private long disconnectedMillis;

	}

}
