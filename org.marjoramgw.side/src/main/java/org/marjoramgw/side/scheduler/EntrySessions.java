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
 * Entries by incarnation, with the connections that each has now.
 *
 * @author The marjoramgw authors
 */
final class EntrySessions {

	private final Map<EntryIncarnation, Session> sessions = new HashMap<>();

	/**
	 * Notes a connection.
	 * @param link the connection
	 * @return the earlier incarnations of the entry, which are over
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
	 * Tells each connection whether it has open requests.
	 * @param busyLinks the connections that have
	 */
	void updateOpenRequests(Set<EntryLink> busyLinks) {
		for (Session session : this.sessions.values()) {
			session.links.forEach((link) -> link.setOpenRequests(busyLinks.contains(link)));
		}
	}

	/**
	 * Returns when the entry of a request was last connected.
	 * @param key the request
	 * @param nowMillis the present time, in milliseconds
	 * @return the present time if it is connected, 0 if it isn't known
	 */
	long lastSeenMillis(RequestKey key, long nowMillis) {
		Session session = this.sessions.get(new EntryIncarnation(key.entryId(), key.incarnation()));
		if (session == null) {
			return 0;
		}
		return session.links.isEmpty() ? session.disconnectedMillis : nowMillis;
	}

	/**
	 * Removes the entries that have been away for too long.
	 * @param goneBeforeMillis time before which they went, in milliseconds
	 * @return the removed ones
	 */
	List<EntryIncarnation> removeDisconnected(long goneBeforeMillis) {
		List<EntryIncarnation> removed = new ArrayList<>();
		this.sessions.forEach((entry, session) -> {
			if (session.links.isEmpty() && session.disconnectedMillis < goneBeforeMillis) {
				removed.add(entry);
			}
		});
		removed.forEach(this.sessions::remove);
		return removed;
	}

	/**
	 * One incarnation of an entry.
	 *
	 * @param processId its process id
	 * @param incarnation its incarnation
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
