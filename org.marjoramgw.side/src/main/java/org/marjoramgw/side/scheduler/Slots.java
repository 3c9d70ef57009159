package org.marjoramgw.side.scheduler;

import java.util.Optional;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.policy.slot.Preemption;
import org.marjoramgw.policy.slot.SlotScheduler;
import org.marjoramgw.wire.Message;

/**
 * Grants: moves requests from the queue to slots and back.
 *
 * @author The marjoramgw authors
 */
final class Slots {

	private final MillisClock clock;

	private final SlotScheduler policy;

	private final Tickets tickets;

	private final Journal journal;

	private final BackendHealth health;

	private Runs runs;

	private Configuration configuration;

	Slots(MillisClock clock, SlotScheduler policy, Tickets tickets, Journal journal, BackendHealth health) {
		this.clock = clock;
		this.policy = policy;
		this.tickets = tickets;
		this.journal = journal;
		this.health = health;
	}

	void bind(Runs newRuns) {
		this.runs = newRuns;
	}

	void configure(Configuration newConfiguration) {
		this.configuration = newConfiguration;
		this.policy.configure(newConfiguration);
	}

	Optional<Configuration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	SlotScheduler policy() {
		return this.policy;
	}

	/**
	 * Gives free slots away, then moves slots from lower tiers where that is due.
	 */
	void dispatch() {
		long nowMillis = this.clock.nowMillis();
		refuseExpired(nowMillis);
		if (this.health.isSuspect(nowMillis)) {
			return;
		}
		Optional<WaitingRequest> next = this.policy.grantNext(nowMillis);
		while (next.isPresent()) {
			give(next.get(), nowMillis);
			next = this.policy.grantNext(nowMillis);
		}
		Optional<Preemption> swap = this.policy.preempt(nowMillis);
		while (swap.isPresent()) {
			move(swap.get(), nowMillis);
			swap = this.policy.preempt(nowMillis);
		}
	}

	/**
	 * Frees the slot of a request and gives it on.
	 * @param ticket the request
	 */
	void free(Ticket ticket) {
		this.policy.free(ticket.key(), this.clock.nowMillis());
		dispatch();
	}

	/**
	 * Forgets a request wherever it stands and frees the slot that it may hold.
	 * @param ticket the request
	 * @param code what a late message about it is told
	 */
	void drop(Ticket ticket, ResultCode code) {
		this.policy.withdraw(ticket.key());
		this.tickets.remove(ticket, code);
		free(ticket);
	}

	/**
	 * Takes back the grants whose body didn't come in time.
	 */
	void takeBackExpired() {
		long nowMillis = this.clock.nowMillis();
		for (Ticket ticket : this.tickets.matching((candidate) -> isGrantOver(candidate, nowMillis))) {
			takeBack(ticket);
		}
	}

	void takeBack(Ticket ticket) {
		this.journal.note(ticket, "grant_timeout", null, "until_ms=" + ticket.grantUntilMillis());
		this.journal.count("grant_timeouts");
		this.tickets.remove(ticket, ResultCode.GRANT_EXPIRED);
		this.policy.free(ticket.key(), this.clock.nowMillis());
	}

	boolean isGrantOver(Ticket ticket, long nowMillis) {
		return ticket.state() == TicketState.GRANTED && nowMillis > ticket.grantUntilMillis();
	}

	/**
	 * Refuses what waits, as not run.
	 * @param code why
	 * @param retryAfterMillis when to come back, in milliseconds
	 */
	void refuseQueued(ResultCode code, long retryAfterMillis) {
		for (Ticket ticket : this.tickets.matching((candidate) -> candidate.state() == TicketState.QUEUED)) {
			refuse(ticket, code, retryAfterMillis);
		}
	}

	private void refuseExpired(long nowMillis) {
		for (WaitingRequest expired : this.policy.expired(nowMillis)) {
			Ticket ticket = this.tickets.get(expired.key());
			refuse(ticket, ResultCode.DEADLINE_UNREACHABLE, 0);
		}
	}

	private void refuse(Ticket ticket, ResultCode code, long retryAfterMillis) {
		RequestKey key = ticket.key();
		this.policy.withdraw(key);
		this.tickets.remove(ticket, code);
		this.journal.note(ticket, "refuse", code,
				"waited_ms=" + (this.clock.nowMillis() - ticket.waiting().arrivedMillis()));
		ticket.send(new Message.Refusal(key.requestId(), key.attempt(), code.number(), retryAfterMillis));
	}

	private void give(WaitingRequest request, long nowMillis) {
		Ticket ticket = this.tickets.get(request.key());
		if (request.resumed()) {
			this.journal.note(ticket, "resume", null, describe(request, nowMillis));
			this.runs.execute(ticket);
			return;
		}
		long holdMillis = this.configuration.limits().grantTimeoutMillis();
		ticket.granted(nowMillis, holdMillis);
		this.journal.note(ticket, "grant", null, describe(request, nowMillis));
		this.journal.count("grants");
		ticket.send(new Message.Grant(request.key().requestId(), request.key().attempt(), holdMillis));
	}

	private void move(Preemption swap, long nowMillis) {
		Ticket victim = this.tickets.get(swap.preempted());
		this.runs.preempt(victim, swap.granted());
		give(swap.granted(), nowMillis);
	}

	private String describe(WaitingRequest request, long nowMillis) {
		int bestWaiting = this.policy.queues().all().stream().mapToInt(WaitingRequest::tier).min().orElse(0);
		return "account=" + request.account() + " waited_ms=" + (nowMillis - request.arrivedMillis()) + " taken="
				+ this.policy.takenSlots() + " limit=" + this.policy.slotLimit() + " queued="
				+ this.policy.queues().size() + " best_tier_waiting=" + bestWaiting + " by_floor="
				+ (bestWaiting > 0 && bestWaiting < request.tier());
	}

}
