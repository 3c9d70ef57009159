package org.marjoramgw.side.scheduler;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import org.marjoramgw.MillisClock;
import org.marjoramgw.Outcome;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.side.backend.Backend;
import org.marjoramgw.side.backend.BackendEnd;
import org.marjoramgw.side.backend.BackendRequest;
import org.marjoramgw.wire.BackendCall;
import org.marjoramgw.wire.Message;

/**
 * Requests whose body was accepted, up to the end of their answers.
 *
 * @author The marjoramgw authors
 */
final class Runs {

	private static final int MAX_TEXT_CHARS = 1_048_576;

	private static final long FIRST_TOKEN_SILENCE_MILLIS = 5_000;

	private static final long TOKEN_SILENCE_MILLIS = 2_000;

	private static final int SILENT_GAPS = 10;

	private final MillisClock clock;

	private final Backend backend;

	private final boolean model;

	private final Slots slots;

	private final Tickets tickets;

	private final Claims claims;

	private final Journal journal;

	private final BackendHealth health;

	private final Consumer<SchedulerCommand> events;

	Runs(MillisClock clock, Backend backend, boolean model, Slots slots, Tickets tickets, Claims claims,
			Journal journal, BackendHealth health, Consumer<SchedulerCommand> events) {
		this.clock = clock;
		this.backend = backend;
		this.model = model;
		this.slots = slots;
		this.tickets = tickets;
		this.claims = claims;
		this.journal = journal;
		this.health = health;
		this.events = events;
	}

	/**
	 * Runs a granted request.
	 * @param ticket the request
	 * @param call its call
	 */
	void accept(Ticket ticket, BackendCall call) {
		ticket.accept(call);
		if (this.claims.isNeeded(ticket)) {
			this.journal.note(ticket, "claim", null, "");
			this.claims.claim(ticket);
			return;
		}
		execute(ticket);
	}

	/**
	 * Starts an execution at the backend server.
	 * @param ticket the request, which holds a slot
	 */
	void execute(Ticket ticket) {
		long nowMillis = this.clock.nowMillis();
		boolean resumed = ticket.state() == TicketState.PREEMPTED;
		int execution = ticket.startExecution(nowMillis);
		if (resumed) {
			this.journal.wasted("preempted_prefill", ticket.contextTokens());
		}
		if (this.model) {
			this.slots.policy().markResumable(ticket.key(), ticket.contextTokens(), execution - 1);
		}
		String requestId = ticket.key().requestId();
		String executionId = (execution == 1) ? requestId : requestId + "~" + execution;
		this.journal.note(ticket, "run", null,
				"execution=" + executionId + " since_arrival_ms=" + (nowMillis - ticket.waiting().arrivedMillis()));
		BackendRequest request = new BackendRequest(executionId, requestId, ticket.waiting().tier(), ticket.call(),
				this.model ? ticket.text() : "");
		ticket
			.setRun(this.backend.start(request, new ExecutionListener(ticket.key(), ticket.execution(), this.events)));
	}

	void onPart(SchedulerCommand.Part part) {
		Ticket ticket = running(part.key(), part.execution());
		if (ticket == null) {
			this.journal.count("late_parts");
			return;
		}
		this.health.reached();
		RequestKey key = part.key();
		Message.Chunk chunk = new Message.Chunk(key.requestId(), key.attempt(), ticket.answer().nextSequence(),
				part.tokens(), part.payload());
		if (ticket.textLength() > MAX_TEXT_CHARS || !ticket.answer().add(chunk)) {
			stop(ticket, ResultCode.ANSWER_TOO_LARGE);
			return;
		}
		String text = this.model ? new String(part.payload(), StandardCharsets.UTF_8) : "";
		ticket.generated(part.tokens(), text, this.clock.nowMillis());
		this.slots.policy().addGeneratedTokens(key, part.tokens());
		ticket.send(chunk);
	}

	void onEnded(SchedulerCommand.Ended ended) {
		Ticket ticket = running(ended.key(), ended.execution());
		if (ticket == null) {
			return;
		}
		this.health.reached();
		this.claims.recordResult(ticket, ended.end());
		long slotMillis = ticket.slotMillis(this.clock.nowMillis());
		this.slots.policy().recordSlotTime(ticket.waiting().requestClass(), slotMillis);
		end(ticket, endMessage(ticket, ended.end()), ended.end().code());
	}

	void onFailed(SchedulerCommand.Failed failed) {
		Ticket ticket = running(failed.key(), failed.execution());
		if (ticket == null) {
			return;
		}
		ResultCode code = failed.code();
		long retryAfterMillis = 0;
		if (code == ResultCode.BACKEND_UNREACHABLE) {
			this.health.unreachable(this.clock.nowMillis());
			retryAfterMillis = this.health.leftMillis(this.clock.nowMillis());
		}
		if (code.outcome() == Outcome.NOT_RUN && failed.execution() > 1) {
			code = ResultCode.BACKEND_BROKE_OFF;
		}
		if (code.outcome() == Outcome.NOT_RUN) {
			this.claims.release(ticket);
		}
		else {
			this.claims.recordUnknown(ticket);
		}
		end(ticket, refusal(ticket, code, retryAfterMillis), code);
		if (failed.code() == ResultCode.BACKEND_UNREACHABLE) {
			this.slots.refuseQueued(failed.code(), retryAfterMillis);
			endPreempted();
		}
	}

	/**
	 * Handles the verdict on a claim.
	 * @param claimed the verdict
	 */
	void onClaimed(SchedulerCommand.Claimed claimed) {
		Ticket ticket = this.tickets.get(claimed.key());
		if (ticket == null || ticket.state() != TicketState.CLAIMING) {
			this.claims.abandon(claimed);
			return;
		}
		Claims.Decision decision = this.claims.decide(ticket, claimed.verdict(), this.clock.nowMillis());
		this.journal.note(ticket, "claimed", null, decision.toString());
		if (decision.mayRun()) {
			execute(ticket);
		}
		else if (decision.repeated() != null) {
			repeat(ticket, decision);
		}
		else {
			end(ticket, refusal(ticket, decision.refusal(), 0), decision.refusal());
		}
	}

	/**
	 * Stops a stream so that a higher tier gets its slot; it waits to go on.
	 * @param ticket the stream
	 * @param granted the request that gets the slot
	 */
	void preempt(Ticket ticket, WaitingRequest granted) {
		ticket.stopRun();
		ticket.preempted(this.clock.nowMillis());
		this.journal.count("preemptions");
		this.journal.note(ticket, "preempt", ResultCode.PREEMPTED, "tokens=" + ticket.generatedTokens() + " for="
				+ granted.key().requestId() + " for_class=" + granted.requestClass() + " for_tier=" + granted.tier());
	}

	/**
	 * Ends a request whose body was accepted, wherever it is.
	 * @param ticket the request
	 * @param code why
	 */
	void stop(Ticket ticket, ResultCode code) {
		ResultCode truth = code;
		if (ticket.state() == TicketState.CLAIMING) {
			truth = (code.outcome() == Outcome.NOT_RUN) ? code : notRunFormOf(code);
		}
		else {
			ticket.stopRun();
			this.slots.policy().withdraw(ticket.key());
			this.journal.wasted("cancelled", ticket.generatedTokens());
			this.claims.recordUnknown(ticket);
		}
		end(ticket, refusal(ticket, truth, 0), truth);
	}

	/**
	 * Stops what has passed its deadline.
	 */
	void stopOverdue() {
		long nowMillis = this.clock.nowMillis();
		for (Ticket ticket : this.tickets
			.matching((candidate) -> candidate.state().isInFlight() && nowMillis > candidate.finishByMillis())) {
			stop(ticket, ResultCode.DEADLINE_IN_FLIGHT);
		}
	}

	/**
	 * Ends streams whose engine has gone silent, since a connection may fall silent for
	 * good without an error; the entry continues them elsewhere.
	 */
	void endSilent() {
		if (!this.model) {
			return;
		}
		long nowMillis = this.clock.nowMillis();
		for (Ticket ticket : this.tickets.matching((candidate) -> candidate.state() == TicketState.RUNNING)) {
			if (nowMillis - ticket.heardMillis() > silenceLimitMillis(ticket)) {
				ticket.stopRun();
				end(ticket, refusal(ticket, ResultCode.BACKEND_BROKE_OFF, 0), ResultCode.BACKEND_BROKE_OFF);
			}
		}
	}

	private long silenceLimitMillis(Ticket ticket) {
		RequestClass requestClass = this.slots.configuration()
			.map((configuration) -> configuration.classes().get(ticket.waiting().requestClass()))
			.orElse(null);
		if (!ticket.hasExecutionBegun()) {
			long targetMillis = (requestClass != null) ? requestClass.firstTokenMillis() : 0;
			return Math.max(FIRST_TOKEN_SILENCE_MILLIS, targetMillis);
		}
		long gapMillis = (requestClass != null) ? requestClass.tokenGapMillis() : 0;
		return Math.max(TOKEN_SILENCE_MILLIS, gapMillis * SILENT_GAPS);
	}

	/**
	 * Feeds the slot limit with the gaps measured since the last call.
	 */
	void measureGaps() {
		for (Ticket ticket : this.tickets.matching((candidate) -> candidate.state() == TicketState.RUNNING)) {
			double gapMillis = ticket.gaps().take();
			if (gapMillis >= 0) {
				this.slots.policy().observeTokenGap(ticket.waiting().requestClass(), gapMillis);
			}
		}
		this.slots.policy().adjustLimit(this.clock.nowMillis());
	}

	// streams that wait to go on here go on elsewhere instead
	private void endPreempted() {
		for (Ticket ticket : this.tickets.matching((candidate) -> candidate.state() == TicketState.PREEMPTED)) {
			this.slots.policy().withdraw(ticket.key());
			end(ticket, refusal(ticket, ResultCode.BACKEND_BROKE_OFF, 0), ResultCode.BACKEND_BROKE_OFF);
		}
	}

	private void repeat(Ticket ticket, Claims.Decision decision) {
		RequestKey key = ticket.key();
		byte[] body = decision.repeated().body().getBytes(StandardCharsets.UTF_8);
		Message.Chunk chunk = new Message.Chunk(key.requestId(), key.attempt(), 0, 0, body);
		if (!ticket.answer().add(chunk)) {
			end(ticket, refusal(ticket, ResultCode.ANSWER_TOO_LARGE, 0), ResultCode.ANSWER_TOO_LARGE);
			return;
		}
		ticket.send(chunk);
		BackendEnd recorded = new BackendEnd(ResultCode.OK_REPEATED, decision.repeated().httpStatus(),
				decision.repeated().contentType(), "");
		end(ticket, endMessage(ticket, recorded), ResultCode.OK_REPEATED);
	}

	private void end(Ticket ticket, Message last, ResultCode code) {
		if (code == ResultCode.BACKEND_BROKE_OFF) {
			this.journal.wasted("crashed", ticket.contextTokens());
		}
		ticket.done(last, this.clock.nowMillis());
		ticket.send(last);
		this.journal.note(ticket, "end", code,
				"chunks=" + ticket.answer().nextSequence() + " tokens=" + ticket.generatedTokens());
		this.slots.free(ticket);
	}

	private Ticket running(RequestKey key, int execution) {
		Ticket ticket = this.tickets.get(key);
		boolean current = ticket != null && ticket.state() == TicketState.RUNNING && ticket.execution() == execution;
		return current ? ticket : null;
	}

	private static ResultCode notRunFormOf(ResultCode code) {
		return (code == ResultCode.DEADLINE_IN_FLIGHT) ? ResultCode.DEADLINE_UNREACHABLE
				: ResultCode.CANCELLED_BEFORE_START;
	}

	private static Message.Refusal refusal(Ticket ticket, ResultCode code, long retryAfterMillis) {
		return new Message.Refusal(ticket.key().requestId(), ticket.key().attempt(), code.number(), retryAfterMillis);
	}

	private static Message.End endMessage(Ticket ticket, BackendEnd end) {
		return new Message.End(ticket.key().requestId(), ticket.key().attempt(), ticket.answer().nextSequence(),
				end.code().number(), end.httpStatus(), end.contentType(), end.finishReason());
	}

}
