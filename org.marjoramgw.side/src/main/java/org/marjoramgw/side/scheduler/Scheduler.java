package org.marjoramgw.side.scheduler;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimBook;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.slot.SlotScheduler;
import org.marjoramgw.side.answer.AnswerBudget;
import org.marjoramgw.side.backend.Backend;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerStatus;

/**
 * Scheduler of one backend server: reservations, grants, runs and answers.
 * <p>
 * Not thread-safe: commands are handled one at a time. {@link #status()} and
 * {@link #drained()} may be used from any thread.
 *
 * @author The marjoramgw authors
 */
public final class Scheduler {

	private static final long MAX_ANSWERS_BYTES = 8_388_608;

	private static final long MAX_ANSWER_BYTES = 2_097_152;

	private static final long ADJUST_MILLIS = 500;

	private final MillisClock clock;

	private final SchedulerParameters parameters;

	private final Journal journal;

	private final Tickets tickets = new Tickets();

	private final Sessions sessions = new Sessions();

	private final AnswerBudget budget = new AnswerBudget(MAX_ANSWERS_BYTES, MAX_ANSWER_BYTES);

	private final Refusals refusals;

	private final Slots slots;

	private final Runs runs;

	private final Reservations reservations;

	private final Answers answers;

	private final CompletableFuture<Void> left = new CompletableFuture<>();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private volatile PeerStatus status = new PeerStatus(0, false, 0, 0, 0);

	private boolean leaving;

	private long adjustedMillis;

	/**
	 * Creates a scheduler.
	 * @param clock the clock
	 * @param parameters what it takes from the settings
	 * @param backend the backend server
	 * @param claimBook claims of idempotency keys
	 * @param recorder record of decisions and metrics
	 * @param events takes the commands that follow from asynchronous work
	 */
	public Scheduler(MillisClock clock, SchedulerParameters parameters, Backend backend, ClaimBook claimBook,
			SchedulerRecorder recorder, Consumer<SchedulerCommand> events) {
		this.clock = clock;
		this.parameters = parameters;
		this.journal = new Journal(recorder.decisions(), recorder.registry());
		this.refusals = new Refusals(this.journal);
		BackendHealth health = new BackendHealth();
		SlotScheduler policy = new SlotScheduler(parameters.model(), parameters.processId().hashCode(),
				clock.nowMillis());
		this.slots = new Slots(clock, policy, this.tickets, this.journal, health);
		this.runs = new Runs(clock, backend, parameters.model(), this.slots, this.tickets,
				new Claims(claimBook, events), this.journal, health, events);
		this.slots.bind(this.runs);
		this.reservations = new Reservations(clock, parameters.pool(), this.slots, this.tickets, this.journal,
				this.refusals, health, this.budget);
		this.answers = new Answers(clock, this.tickets, this.slots, this.sessions, this.journal, this.refusals,
				parameters.answerKeepMillis());
	}

	/**
	 * Handles one command.
	 * @param command the command
	 */
	public void handle(SchedulerCommand command) {
		if (command instanceof SchedulerCommand.Part part) {
			this.runs.onPart(part);
		}
		else if (command instanceof SchedulerCommand.FromEntry message) {
			onMessage(message.link(), message.message());
		}
		else if (command instanceof SchedulerCommand.Ended ended) {
			this.runs.onEnded(ended);
		}
		else if (command instanceof SchedulerCommand.Failed failed) {
			this.runs.onFailed(failed);
		}
		else if (command instanceof SchedulerCommand.Claimed claimed) {
			this.runs.onClaimed(claimed);
		}
		else if (command instanceof SchedulerCommand.Tick) {
			onTick();
		}
		else {
			onChange(command);
		}
	}

	/**
	 * Returns what the process does now.
	 * @return the status as of the last change or tick
	 */
	public PeerStatus status() {
		return this.status;
	}

	/**
	 * Returns the start of a graceful stop.
	 * @return completes once the status says that the process is leaving
	 */
	public CompletionStage<Void> left() {
		return this.left;
	}

	/**
	 * Returns the end of a graceful stop.
	 * @return completes once the process is told to leave and has nothing left to finish
	 */
	public CompletionStage<Void> drained() {
		return this.drained;
	}

	private void onChange(SchedulerCommand command) {
		if (command instanceof SchedulerCommand.EntryConnected connected) {
			this.sessions.connected(connected.link()).forEach(this::forget);
		}
		else if (command instanceof SchedulerCommand.EntryGone gone) {
			onGone(gone.link());
		}
		else if (command instanceof SchedulerCommand.Configured configured) {
			onConfiguration(configured.configuration());
		}
		else if (command instanceof SchedulerCommand.Drain) {
			onDrain();
		}
	}

	private void onMessage(EntryLink link, Message message) {
		if (message instanceof Message.Reserve reserve) {
			this.reservations.reserve(link, keyOf(link, reserve.requestId(), reserve.attempt()), reserve);
		}
		else if (message instanceof Message.Run run) {
			onRun(link, keyOf(link, run.requestId(), run.attempt()), run);
		}
		else if (message instanceof Message.Ack ack) {
			this.answers.acknowledge(keyOf(link, ack.requestId(), ack.attempt()), ack.nextSequence());
		}
		else if (message instanceof Message.Release release) {
			onRelease(keyOf(link, release.requestId(), release.attempt()));
		}
		else if (message instanceof Message.Cancel cancel) {
			onCancel(link, keyOf(link, cancel.requestId(), cancel.attempt()));
		}
		else if (message instanceof Message.Resume resume) {
			this.answers.resume(link, keyOf(link, resume.requestId(), resume.attempt()), resume.nextSequence());
		}
	}

	private void onRun(EntryLink link, RequestKey key, Message.Run run) {
		Ticket ticket = this.tickets.get(key);
		if (ticket != null && this.slots.isGrantOver(ticket, this.clock.nowMillis())) {
			this.slots.takeBack(ticket);
			ticket = null;
		}
		if (ticket == null) {
			ResultCode code = this.tickets.tombstones().find(key).orElse(ResultCode.UNKNOWN_RESERVATION);
			refuse(link, key, code, "late body");
		}
		else if (ticket.state() == TicketState.GRANTED) {
			acceptRun(link, ticket, run);
		}
		else if (ticket.state() == TicketState.QUEUED) {
			this.slots.drop(ticket, ResultCode.UNKNOWN_RESERVATION);
			refuse(link, key, ResultCode.UNKNOWN_RESERVATION, "body before its grant");
		}
		else {
			this.journal.count("repeated_runs");
		}
	}

	private void acceptRun(EntryLink link, Ticket ticket, Message.Run run) {
		int maxBodyBytes = this.slots.configuration().orElseThrow().limits().bodyBytes();
		if (run.call().body().length > maxBodyBytes) {
			this.slots.drop(ticket, ResultCode.BODY_TOO_LARGE);
			refuse(link, ticket.key(), ResultCode.BODY_TOO_LARGE, "");
			return;
		}
		ticket.setLink(link);
		this.runs.accept(ticket, run.call());
	}

	private void onRelease(RequestKey key) {
		Ticket ticket = this.tickets.get(key);
		if (ticket != null && ticket.state().awaitsBody()) {
			this.journal.note(ticket, "release", ResultCode.RELEASED, "");
			this.slots.drop(ticket, ResultCode.RELEASED);
		}
	}

	private void onCancel(EntryLink link, RequestKey key) {
		Ticket ticket = this.tickets.get(key);
		if (ticket == null) {
			ResultCode code = this.tickets.tombstones()
				.find(key)
				.filter((known) -> known == ResultCode.ANSWER_NOT_KEPT)
				.map((known) -> ResultCode.CANCELLED_IN_FLIGHT)
				.orElse(ResultCode.CANCELLED_BEFORE_START);
			if (code == ResultCode.CANCELLED_BEFORE_START) {
				this.tickets.tombstones().put(key, code);
			}
			refuse(link, key, code, "cancel");
		}
		else if (ticket.state() == TicketState.DONE) {
			this.tickets.remove(ticket, ResultCode.ANSWER_NOT_KEPT);
			refuse(link, key, ResultCode.CANCELLED_IN_FLIGHT, "cancel after the end");
		}
		else if (ticket.state().isInFlight()) {
			ticket.setLink(link);
			this.runs.stop(ticket, ResultCode.CANCELLED_IN_FLIGHT);
		}
		else {
			this.slots.drop(ticket, ResultCode.CANCELLED_BEFORE_START);
			refuse(link, key, ResultCode.CANCELLED_BEFORE_START, "cancel");
		}
	}

	private void onGone(EntryLink link) {
		this.sessions.gone(link, this.clock.nowMillis());
		for (Ticket ticket : this.tickets.matching((candidate) -> candidate.link() == link)) {
			if (ticket.state().awaitsBody()) {
				this.journal.note(ticket, "drop", null, "connection of its entry is gone");
				this.slots.drop(ticket, ResultCode.GRANT_EXPIRED);
			}
			else {
				ticket.setLink(null);
			}
		}
	}

	private void forget(Sessions.EntryIncarnation entry) {
		for (Ticket ticket : this.tickets.matching((candidate) -> entry.owns(candidate.key()))) {
			ticket.setLink(null);
			if (ticket.state().isInFlight()) {
				this.runs.stop(ticket, ResultCode.CANCELLED_IN_FLIGHT);
				this.tickets.remove(ticket, ResultCode.ANSWER_NOT_KEPT);
			}
			else {
				boolean done = ticket.state() == TicketState.DONE;
				this.slots.drop(ticket, done ? ResultCode.ANSWER_NOT_KEPT : ResultCode.GRANT_EXPIRED);
			}
		}
	}

	private void onConfiguration(Configuration configuration) {
		this.slots.configure(configuration);
		this.slots.dispatch();
		publishStatus();
	}

	private void onDrain() {
		if (!this.leaving) {
			this.leaving = true;
			this.reservations.leave();
			publishStatus();
			this.left.complete(null);
		}
	}

	private void onTick() {
		long nowMillis = this.clock.nowMillis();
		this.slots.takeBackExpired();
		this.runs.stopOverdue();
		this.runs.endSilent();
		this.sessions.removeGone(nowMillis - this.parameters.answerKeepMillis()).forEach(this::forget);
		this.answers.forgetOld();
		if (nowMillis - this.adjustedMillis >= ADJUST_MILLIS) {
			this.adjustedMillis = nowMillis;
			this.runs.measureGaps();
			this.sessions.tellOpenRequests(this.tickets.openLinks());
			publishGauges(nowMillis);
		}
		this.slots.dispatch();
		publishStatus();
		if (this.leaving && this.tickets.all().isEmpty()) {
			this.drained.complete(null);
		}
	}

	private void publishStatus() {
		long revision = this.slots.configuration().map(Configuration::revision).orElse(0L);
		int queued = this.slots.policy().queues().size();
		int limit = this.slots.policy().slotLimit();
		this.status = new PeerStatus(revision, this.leaving, this.slots.policy().takenSlots(), queued, limit);
	}

	private void publishGauges(long nowMillis) {
		this.journal.gauge("in_flight", this.slots.policy().takenSlots());
		this.journal.gauge("slot_limit", this.slots.policy().slotLimit());
		this.journal.gauge("answer_bytes", this.budget.usedBytes());
		this.slots.configuration().ifPresent((configuration) -> {
			for (String requestClass : configuration.classes().keySet()) {
				this.journal.gauge("queue_length." + requestClass, this.slots.policy().queues().size(requestClass));
				this.journal.slotTime(requestClass, this.slots.policy().usedSlotMillis(requestClass, nowMillis));
			}
		});
	}

	private void refuse(EntryLink link, RequestKey key, ResultCode code, String detail) {
		this.refusals.send(link, key, code, 0, detail);
	}

	private static RequestKey keyOf(EntryLink link, String requestId, int attempt) {
		return new RequestKey(link.peer().processId(), link.peer().incarnation(), requestId, attempt);
	}

}
