package org.marjoramgw.side.scheduler;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimStore;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.policy.slot.SlotScheduler;
import org.marjoramgw.side.backend.Backend;
import org.marjoramgw.side.response.ResponseBufferBudget;
import org.marjoramgw.wire.PeerStatus;

/**
 * Scheduler of one backend server: handles reservations, grants, executions and
 * responses.
 * <p>
 * Not thread-safe: commands must be handled one at a time. {@link #status()},
 * {@link #drainStarted()} and {@link #drained()} may be called from any thread.
 *
 * @author The marjoramgw authors
 */
public final class Scheduler {

	private static final long MAX_TOTAL_RESPONSE_BYTES = 8_388_608;

	private static final long MAX_RESPONSE_BYTES = 2_097_152;

	private static final long ADJUST_INTERVAL_MILLIS = 500;

	private final MillisClock clock;

	private final SchedulerParameters parameters;

	private final Journal journal;

	private final RequestTable requests = new RequestTable();

	private final EntrySessions sessions = new EntrySessions();

	private final ResponseBufferBudget responseBudget = new ResponseBufferBudget(MAX_TOTAL_RESPONSE_BYTES,
			MAX_RESPONSE_BYTES);

	private final SlotAllocator slots;

	private final ExecutionManager executions;

	private final ReservationHandler reservations;

	private final ResponseDelivery responses;

	private final EntryMessageHandler messages;

	private final CompletableFuture<Void> drainStarted = new CompletableFuture<>();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private volatile PeerStatus status = new PeerStatus(0, false, 0, 0, 0);

	private boolean draining;

	private long lastAdjustMillis;

	/**
	 * Creates a scheduler.
	 * @param clock the source of the current time
	 * @param parameters parameters from the settings
	 * @param backend the backend server
	 * @param claimStore store of idempotency claims
	 * @param sinks destinations of decisions and metrics
	 * @param commands receives the commands that result from asynchronous operations
	 */
	public Scheduler(MillisClock clock, SchedulerParameters parameters, Backend backend, ClaimStore claimStore,
			TelemetrySinks sinks, Consumer<SchedulerCommand> commands) {
		this.clock = clock;
		this.parameters = parameters;
		this.journal = new Journal(sinks.decisionLog(), sinks.metricRegistry());
		RefusalSender refusals = new RefusalSender(this.journal);
		BackendHealth health = new BackendHealth();
		SlotScheduler policy = new SlotScheduler(parameters.model(), parameters.processId().hashCode(),
				clock.nowMillis());
		this.slots = new SlotAllocator(clock, policy, this.requests, this.journal, health);
		this.executions = new ExecutionManager(clock, backend, parameters.model(), this.slots, this.requests,
				new IdempotencyClaims(claimStore, commands), this.journal, health, commands);
		this.slots.setExecutions(this.executions);
		this.reservations = new ReservationHandler(clock, parameters.pool(), this.slots, this.requests, this.journal,
				refusals, health, this.responseBudget);
		this.responses = new ResponseDelivery(clock, this.requests, this.slots, this.sessions, this.journal, refusals,
				parameters.responseRetentionMillis());
		this.messages = new EntryMessageHandler(clock, this.slots, this.requests, this.executions, this.reservations,
				this.responses, this.journal, refusals);
	}

	/**
	 * Handles one command.
	 * @param command the command
	 */
	public void handle(SchedulerCommand command) {
		if (command instanceof SchedulerCommand.ResponsePart part) {
			this.executions.onResponsePart(part);
		}
		else if (command instanceof SchedulerCommand.EntryMessage message) {
			this.messages.handle(message.link(), message.message());
		}
		else if (command instanceof SchedulerCommand.ResponseCompleted completed) {
			this.executions.onResponseCompleted(completed);
		}
		else if (command instanceof SchedulerCommand.ExecutionFailed failed) {
			this.executions.onExecutionFailed(failed);
		}
		else if (command instanceof SchedulerCommand.ClaimDecided decided) {
			this.executions.onClaimDecided(decided);
		}
		else if (command instanceof SchedulerCommand.Tick) {
			onTick();
		}
		else {
			handleLifecycle(command);
		}
	}

	/**
	 * Returns the status of the process.
	 * @return the status as of the last change or tick
	 */
	public PeerStatus status() {
		return this.status;
	}

	/**
	 * Returns a stage that completes when a graceful shutdown starts.
	 * @return the stage, completed once the status reports that the process is leaving
	 */
	public CompletionStage<Void> drainStarted() {
		return this.drainStarted;
	}

	/**
	 * Returns a stage that completes when a graceful shutdown has finished.
	 * @return the stage, completed once the process is draining and holds no requests
	 */
	public CompletionStage<Void> drained() {
		return this.drained;
	}

	private void handleLifecycle(SchedulerCommand command) {
		if (command instanceof SchedulerCommand.EntryConnected connected) {
			this.sessions.onConnected(connected.link()).forEach(this::discardRequestsOf);
		}
		else if (command instanceof SchedulerCommand.EntryDisconnected disconnected) {
			onEntryDisconnected(disconnected.link());
		}
		else if (command instanceof SchedulerCommand.ConfigurationChanged changed) {
			onConfiguration(changed.configuration());
		}
		else if (command instanceof SchedulerCommand.Drain) {
			onDrain();
		}
	}

	private void onEntryDisconnected(EntryLink link) {
		this.sessions.onDisconnected(link, this.clock.nowMillis());
		for (ScheduledRequest request : this.requests.matching((candidate) -> candidate.link() == link)) {
			if (request.state().awaitsBody()) {
				this.journal.recordDecision(request, "drop", null, "connection to its entry is gone");
				this.slots.discard(request, ResultCode.GRANT_EXPIRED);
			}
			else {
				request.setLink(null);
			}
		}
	}

	private void discardRequestsOf(EntrySessions.EntryIncarnation entry) {
		for (ScheduledRequest request : this.requests.matching((candidate) -> entry.owns(candidate.key()))) {
			request.setLink(null);
			if (request.state().isInFlight()) {
				this.executions.stop(request, ResultCode.CANCELLED_IN_FLIGHT);
				this.requests.remove(request, ResultCode.ANSWER_NOT_KEPT);
			}
			else {
				boolean done = request.state() == RequestState.DONE;
				this.slots.discard(request, done ? ResultCode.ANSWER_NOT_KEPT : ResultCode.GRANT_EXPIRED);
			}
		}
	}

	private void onConfiguration(Configuration configuration) {
		this.slots.configure(configuration);
		this.slots.dispatch();
		publishStatus();
	}

	private void onDrain() {
		if (!this.draining) {
			this.draining = true;
			this.reservations.startDrain();
			publishStatus();
			this.drainStarted.complete(null);
		}
	}

	private void onTick() {
		long nowMillis = this.clock.nowMillis();
		this.slots.revokeExpiredGrants();
		this.executions.stopOverdue();
		this.executions.endStalled();
		this.sessions.removeDisconnected(nowMillis - this.parameters.responseRetentionMillis())
			.forEach(this::discardRequestsOf);
		this.responses.removeExpired();
		if (nowMillis - this.lastAdjustMillis >= ADJUST_INTERVAL_MILLIS) {
			this.lastAdjustMillis = nowMillis;
			this.executions.adjustSlotLimit();
			this.sessions.updateOpenRequests(this.requests.linksWithOpenRequests());
			publishGauges(nowMillis);
		}
		this.slots.dispatch();
		publishStatus();
		if (this.draining && this.requests.all().isEmpty()) {
			this.drained.complete(null);
		}
	}

	private void publishStatus() {
		long revision = this.slots.configuration().map(Configuration::revision).orElse(0L);
		int queued = this.slots.policy().queues().size();
		int limit = this.slots.policy().slotLimit();
		this.status = new PeerStatus(revision, this.draining, this.slots.policy().takenSlots(), queued, limit);
	}

	private void publishGauges(long nowMillis) {
		this.journal.gauge("in_flight", this.slots.policy().takenSlots());
		this.journal.gauge("slot_limit", this.slots.policy().slotLimit());
		this.journal.gauge("answer_bytes", this.responseBudget.usedBytes());
		this.slots.configuration().ifPresent((configuration) -> {
			for (String requestClass : configuration.classes().keySet()) {
				this.journal.gauge("queue_length." + requestClass, this.slots.policy().queues().size(requestClass));
				this.journal.updateSlotTime(requestClass, this.slots.policy().usedSlotMillis(requestClass, nowMillis));
			}
		});
	}

}
