package org.marjoramgw.side.scheduler;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.queue.RequestKey;

/**
 * All requests at this process.
 *
 * @author The marjoramgw authors
 */
final class Tickets {

	private static final int MAX_TOMBSTONES = 8_192;

	private final Map<RequestKey, Ticket> tickets = new LinkedHashMap<>();

	private final Tombstones tombstones = new Tombstones(MAX_TOMBSTONES);

	void add(Ticket ticket) {
		this.tombstones.remove(ticket.key());
		this.tickets.put(ticket.key(), ticket);
	}

	Ticket get(RequestKey key) {
		return this.tickets.get(key);
	}

	/**
	 * Forgets a request.
	 * @param ticket the request
	 * @param code what a late message about it is told
	 */
	void remove(Ticket ticket, ResultCode code) {
		if (this.tickets.remove(ticket.key()) != null) {
			ticket.answer().clear();
			this.tombstones.put(ticket.key(), code);
		}
	}

	Tombstones tombstones() {
		return this.tombstones;
	}

	Collection<Ticket> all() {
		return this.tickets.values();
	}

	List<Ticket> matching(Predicate<Ticket> wanted) {
		return this.tickets.values().stream().filter(wanted).toList();
	}

	/**
	 * Returns the connections with requests that aren't over.
	 * @return the connections
	 */
	Set<EntryLink> openLinks() {
		Set<EntryLink> links = new HashSet<>();
		for (Ticket ticket : this.tickets.values()) {
			if (ticket.link() != null && ticket.state() != TicketState.DONE) {
				links.add(ticket.link());
			}
		}
		return links;
	}

	int count(Predicate<Ticket> wanted) {
		return (int) this.tickets.values().stream().filter(wanted).count();
	}

}
