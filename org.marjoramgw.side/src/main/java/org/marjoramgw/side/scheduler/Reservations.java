package org.marjoramgw.side.scheduler;

import java.util.Optional;

import org.marjoramgw.MillisClock;
import org.marjoramgw.Outcome;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.config.Service;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.policy.slot.Admission;
import org.marjoramgw.side.answer.AnswerBudget;
import org.marjoramgw.side.answer.AnswerBuffer;
import org.marjoramgw.wire.Message;

/**
 * Arrival of reservations: checks them and lets them wait.
 *
 * @author The marjoramgw authors
 */
final class Reservations {

	private static final int MAX_WAITING_PER_LINK = 1_024;

	private static final long MAX_TIME_LEFT_MILLIS = 86_400_000;

	private static final int MAX_PROMPT_TOKENS = 10_000_000;

	private static final long LEAVING_RETRY_MILLIS = 1_000;

	private final MillisClock clock;

	private final String pool;

	private final Slots slots;

	private final Tickets tickets;

	private final Journal journal;

	private final Refusals refusals;

	private final BackendHealth health;

	private final AnswerBudget budget;

	private boolean leaving;

	Reservations(MillisClock clock, String pool, Slots slots, Tickets tickets, Journal journal, Refusals refusals,
			BackendHealth health, AnswerBudget budget) {
		this.clock = clock;
		this.pool = pool;
		this.slots = slots;
		this.tickets = tickets;
		this.journal = journal;
		this.refusals = refusals;
		this.health = health;
		this.budget = budget;
	}

	/**
	 * Refuses what arrives from now on and what waits.
	 */
	void leave() {
		this.leaving = true;
		this.slots.refuseQueued(ResultCode.SIDE_LEAVING, LEAVING_RETRY_MILLIS);
	}

	void reserve(EntryLink link, RequestKey key, Message.Reserve reserve) {
		Ticket known = this.tickets.get(key);
		if (known != null) {
			repeat(link, known);
			return;
		}
		Optional<ResultCode> refusal = check(link, key, reserve);
		if (refusal.isPresent()) {
			long retryAfterMillis = (refusal.get() == ResultCode.BACKEND_UNREACHABLE)
					? this.health.leftMillis(this.clock.nowMillis()) : LEAVING_RETRY_MILLIS;
			this.refusals.send(link, key, refusal.get(), retryAfterMillis, "");
			return;
		}
		admit(link, newTicket(link, key, reserve));
	}

	private void admit(EntryLink link, Ticket ticket) {
		Admission admission = this.slots.policy().offer(ticket.waiting(), this.clock.nowMillis());
		String detail = "account=" + ticket.waiting().account() + " start_within_ms="
				+ ticket.reserve().startWithinMillis() + " estimate_ms=" + admission.waitMillis() + " class_queued="
				+ this.slots.policy().queues().size(ticket.waiting().requestClass()) + " taken="
				+ this.slots.policy().takenSlots();
		if (!admission.isAccepted()) {
			long retryAfterMillis = Math.max(admission.waitMillis(), LEAVING_RETRY_MILLIS);
			this.refusals.send(link, ticket.key(), admission.refusal(), retryAfterMillis,
					"class=" + ticket.waiting().requestClass() + " tier=" + ticket.waiting().tier() + " " + detail);
			return;
		}
		this.tickets.add(ticket);
		this.journal.note(ticket, "reserve", null, detail);
		this.slots.dispatch();
	}

	private Optional<ResultCode> check(EntryLink link, RequestKey key, Message.Reserve reserve) {
		Optional<Configuration> configuration = this.slots.configuration();
		if (this.leaving) {
			return Optional.of(ResultCode.SIDE_LEAVING);
		}
		if (configuration.isEmpty()) {
			return Optional.of(ResultCode.SIDE_NOT_READY);
		}
		if (!isServed(configuration.get(), reserve)) {
			return Optional.of(ResultCode.NOT_SERVED_HERE);
		}
		if (this.health.isSuspect(this.clock.nowMillis())) {
			return Optional.of(ResultCode.BACKEND_UNREACHABLE);
		}
		if (this.tickets.count((ticket) -> isWaitingOf(ticket, link)) >= MAX_WAITING_PER_LINK) {
			return Optional.of(ResultCode.QUEUE_FULL);
		}
		return this.tickets.tombstones().find(key).filter(Reservations::isFinal);
	}

	private boolean isServed(Configuration configuration, Message.Reserve reserve) {
		Service service = configuration.services().get(reserve.service());
		return service != null && service.pool().equals(this.pool)
				&& (reserve.model().isEmpty() || service.models().contains(reserve.model()))
				&& configuration.classes().containsKey(reserve.requestClass());
	}

	private Ticket newTicket(EntryLink link, RequestKey key, Message.Reserve reserve) {
		long nowMillis = this.clock.nowMillis();
		RequestClass requestClass = this.slots.configuration().orElseThrow().classes().get(reserve.requestClass());
		WaitingRequest waiting = this.slots.policy()
			.newRequest(key, requestClass, reserve.account(), bounded(reserve.startWithinMillis()), nowMillis);
		Message.Reserve checked = new Message.Reserve(reserve.requestId(), reserve.attempt(), reserve.service(),
				reserve.model(), reserve.requestClass(), reserve.account(), reserve.startWithinMillis(),
				reserve.finishWithinMillis(), Math.min(Math.max(reserve.promptTokens(), 0), MAX_PROMPT_TOKENS));
		return new Ticket(waiting, checked, nowMillis + bounded(reserve.finishWithinMillis()),
				new AnswerBuffer(this.budget), link);
	}

	private void repeat(EntryLink link, Ticket known) {
		this.journal.count("repeated_reservations");
		known.setLink(link);
		if (known.state() == TicketState.GRANTED) {
			long leftMillis = Math.max(known.grantUntilMillis() - this.clock.nowMillis(), 0);
			link.send(new Message.Grant(known.key().requestId(), known.key().attempt(), leftMillis));
		}
	}

	private static boolean isWaitingOf(Ticket ticket, EntryLink link) {
		return ticket.link() == link && ticket.state().awaitsBody();
	}

	private static boolean isFinal(ResultCode code) {
		return code == ResultCode.CANCELLED_BEFORE_START || code.outcome() != Outcome.NOT_RUN;
	}

	private static long bounded(long millis) {
		return Math.min(Math.max(millis, 0), MAX_TIME_LEFT_MILLIS);
	}

}
