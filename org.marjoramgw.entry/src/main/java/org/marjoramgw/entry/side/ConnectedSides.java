package org.marjoramgw.entry.side;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

import org.marjoramgw.entry.dispatch.SideProcesses;
import org.marjoramgw.policy.candidate.Candidate;
import org.marjoramgw.wire.Message;

/**
 * Established links to side processes, by process id; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class ConnectedSides implements SideProcesses {

	private final Map<String, SideLink> linkById = new ConcurrentHashMap<>();

	@Override
	public List<Candidate> live(String pool) {
		return this.linkById.values()
			.stream()
			.filter((link) -> link.isAvailable(pool))
			.map(SideLink::candidate)
			.toList();
	}

	@Override
	public void send(String sideId, Message message) {
		SideLink link = this.linkById.get(sideId);
		if (link != null) {
			link.send(message);
		}
	}

	@Override
	public OptionalLong incarnation(String sideId) {
		SideLink link = this.linkById.get(sideId);
		return (link != null) ? link.incarnation() : OptionalLong.empty();
	}

	void put(String sideId, SideLink link) {
		this.linkById.put(sideId, link);
	}

	void remove(String sideId) {
		this.linkById.remove(sideId);
	}

}
