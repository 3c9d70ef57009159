package org.marjoramgw.side.scheduler;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.queue.RequestKey;

/**
 * Answers on their way to the entries: acknowledgement, resumption and forgetting.
 *
 * @author The marjoramgw authors
 */
final class Answers {

	private static final long REFUSAL_KEEP_MILLIS = 2_000;

	private static final int MAX_KEEP_FACTOR = 3;

	private final MillisClock clock;

	private final Tickets tickets;

	private final Slots slots;

	private final Sessions sessions;

	private final Journal journal;

	private final Refusals refusals;

	private final long keepMillis;

	Answers(MillisClock clock, Tickets tickets, Slots slots, Sessions sessions, Journal journal, Refusals refusals,
			long keepMillis) {
		this.clock = clock;
		this.tickets = tickets;
		this.slots = slots;
		this.sessions = sessions;
		this.journal = journal;
		this.refusals = refusals;
		this.keepMillis = keepMillis;
	}

	void acknowledge(RequestKey key, long nextSequence) {
		Ticket ticket = this.tickets.get(key);
		if (ticket != null && ticket.answer().acknowledge(nextSequence)) {
			this.tickets.remove(ticket, ResultCode.ANSWER_NOT_KEPT);
		}
	}

	void resume(EntryLink link, RequestKey key, long nextSequence) {
		Ticket ticket = this.tickets.get(key);
		if (ticket == null) {
			ResultCode code = this.tickets.tombstones().find(key).orElse(ResultCode.ANSWER_NOT_KEPT);
			refuse(link, key, code);
			return;
		}
		if (ticket.state().awaitsBody()) {
			refuseUnstarted(link, ticket);
			return;
		}
		if (!ticket.answer().reachesBackTo(nextSequence)) {
			refuse(link, key, ResultCode.ANSWER_NOT_KEPT);
			return;
		}
		this.journal.note(ticket, "rebind", ResultCode.RETRY_RESUMED, "from=" + nextSequence);
		ticket.setLink(link);
		ticket.answer().acknowledge(nextSequence);
		ticket.answer().from(nextSequence).forEach(link::send);
	}

	/**
	 * Forgets answers that nobody has fetched in time.
	 */
	void forgetOld() {
		long nowMillis = this.clock.nowMillis();
		for (Ticket ticket : this.tickets.matching((candidate) -> isOld(candidate, nowMillis))) {
			this.tickets.remove(ticket, ResultCode.ANSWER_NOT_KEPT);
		}
	}

	private boolean isOld(Ticket ticket, long nowMillis) {
		if (ticket.state() != TicketState.DONE) {
			return false;
		}
		boolean delivered = ticket.refused() && ticket.link() != null;
		if (delivered) {
			return nowMillis - ticket.doneMillis() > Math.min(REFUSAL_KEEP_MILLIS, this.keepMillis);
		}
		long sinceMillis = Math.max(ticket.doneMillis(), this.sessions.lastSeenMillis(ticket.key(), nowMillis));
		return nowMillis - sinceMillis > this.keepMillis
				|| nowMillis - ticket.doneMillis() > this.keepMillis * MAX_KEEP_FACTOR;
	}

	// the body was lost with the old connection: makes sure that it can't arrive later
	private void refuseUnstarted(EntryLink link, Ticket ticket) {
		this.slots.drop(ticket, ResultCode.GRANT_EXPIRED);
		refuse(link, ticket.key(), ResultCode.GRANT_EXPIRED);
	}

	private void refuse(EntryLink link, RequestKey key, ResultCode code) {
		this.refusals.send(link, key, code, 0, "on_resume=true");
	}

}
