package org.marjoramgw.side.scheduler;

import java.util.Optional;

import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.config.Service;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.policy.slot.Admission;
import org.marjoramgw.side.response.ResponseBuffer;
import org.marjoramgw.side.response.ResponseBufferBudget;
import org.marjoramgw.wire.Message;

/**
 * Validates incoming reservations and queues them for a slot.
 *
 * @author The marjoramgw authors
 */
final class ReservationHandler {

	private static final int MAX_WAITING_PER_LINK = 1_024;

	private static final long MAX_TIMEOUT_MILLIS = 86_400_000;

	private static final int MAX_PROMPT_TOKENS = 10_000_000;

	private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

	private final MillisClock clock;

	private final String pool;

	private final SlotAllocator slots;

	private final RequestTable requests;

	private final Journal journal;

	private final RefusalSender refusals;

	private final BackendHealth health;

	private final ResponseBufferBudget responseBudget;

	private boolean draining;

	ReservationHandler(MillisClock clock, String pool, SlotAllocator slots, RequestTable requests, Journal journal,
			RefusalSender refusals, BackendHealth health, ResponseBufferBudget responseBudget) {
		this.clock = clock;
		this.pool = pool;
		this.slots = slots;
		this.requests = requests;
		this.journal = journal;
		this.refusals = refusals;
		this.health = health;
		this.responseBudget = responseBudget;
	}

	/**
	 * Refuses all queued requests and every later reservation.
	 */
	void startDrain() {
		this.draining = true;
		this.slots.refuseQueued(ResultCode.SIDE_LEAVING, MIN_RETRY_AFTER_MILLIS);
	}

	void reserve(EntryLink link, RequestKey key, Message.Reserve reserve) {
		ScheduledRequest existing = this.requests.get(key);
		if (existing != null) {
			onRepeatedReservation(link, existing);
			return;
		}
		Optional<ResultCode> refusal = refusalOf(link, key, reserve);
		if (refusal.isPresent()) {
			long retryAfterMillis = (refusal.get() == ResultCode.BACKEND_UNREACHABLE)
					? this.health.remainingBackoffMillis(this.clock.nowMillis()) : MIN_RETRY_AFTER_MILLIS;
			this.refusals.send(link, key, refusal.get(), retryAfterMillis, "");
			return;
		}
		admit(link, newRequest(link, key, reserve));
	}

	private void admit(EntryLink link, ScheduledRequest request) {
		Admission admission = this.slots.policy().offer(request.waiting(), this.clock.nowMillis());
		String detail = "account=" + request.waiting().account() + " start_within_ms="
				+ request.reserve().startWithinMillis() + " estimate_ms=" + admission.waitMillis() + " class_queued="
				+ this.slots.policy().queues().size(request.waiting().requestClass()) + " taken="
				+ this.slots.policy().takenSlots();
		if (!admission.isAccepted()) {
			long retryAfterMillis = Math.max(admission.waitMillis(), MIN_RETRY_AFTER_MILLIS);
			this.refusals.send(link, request.key(), admission.refusal(), retryAfterMillis,
					"class=" + request.waiting().requestClass() + " tier=" + request.waiting().tier() + " " + detail);
			return;
		}
		this.requests.add(request);
		this.journal.recordDecision(request, "reserve", null, detail);
		this.slots.dispatch();
	}

	private Optional<ResultCode> refusalOf(EntryLink link, RequestKey key, Message.Reserve reserve) {
		Optional<Configuration> configuration = this.slots.configuration();
		if (this.draining) {
			return Optional.of(ResultCode.SIDE_LEAVING);
		}
		if (configuration.isEmpty()) {
			return Optional.of(ResultCode.SIDE_NOT_READY);
		}
		if (!isServed(configuration.get(), reserve)) {
			return Optional.of(ResultCode.NOT_SERVED_HERE);
		}
		if (this.health.isBackingOff(this.clock.nowMillis())) {
			return Optional.of(ResultCode.BACKEND_UNREACHABLE);
		}
		if (this.requests.count((request) -> isAwaitingBodyOn(request, link)) >= MAX_WAITING_PER_LINK) {
			return Optional.of(ResultCode.QUEUE_FULL);
		}
		return this.requests.tombstones().find(key).filter(ReservationHandler::preventsRun);
	}

	private boolean isServed(Configuration configuration, Message.Reserve reserve) {
		Service service = configuration.services().get(reserve.service());
		return service != null && service.pool().equals(this.pool)
				&& (reserve.model().isEmpty() || service.models().contains(reserve.model()))
				&& configuration.classes().containsKey(reserve.requestClass());
	}

	private ScheduledRequest newRequest(EntryLink link, RequestKey key, Message.Reserve reserve) {
		long nowMillis = this.clock.nowMillis();
		RequestClass requestClass = this.slots.configuration().orElseThrow().classes().get(reserve.requestClass());
		WaitingRequest waiting = this.slots.policy()
			.newRequest(key, requestClass, reserve.account(), clampMillis(reserve.startWithinMillis()), nowMillis);
		Message.Reserve clamped = new Message.Reserve(reserve.requestId(), reserve.attempt(), reserve.service(),
				reserve.model(), reserve.requestClass(), reserve.account(), reserve.startWithinMillis(),
				reserve.finishWithinMillis(), Math.min(Math.max(reserve.promptTokens(), 0), MAX_PROMPT_TOKENS));
		return new ScheduledRequest(waiting, clamped, nowMillis + clampMillis(reserve.finishWithinMillis()),
				new ResponseBuffer(this.responseBudget), link);
	}

	private void onRepeatedReservation(EntryLink link, ScheduledRequest existing) {
		this.journal.count("repeated_reservations");
		existing.setLink(link);
		if (existing.state() == RequestState.GRANTED) {
			long remainingMillis = Math.max(existing.grantExpiryMillis() - this.clock.nowMillis(), 0);
			link.send(new Message.Grant(existing.key().requestId(), existing.key().attempt(), remainingMillis));
		}
	}

	private static boolean isAwaitingBodyOn(ScheduledRequest request, EntryLink link) {
		return request.link() == link && request.state().awaitsBody();
	}

	private static boolean preventsRun(ResultCode code) {
		return code == ResultCode.CANCELLED_BEFORE_START || code.outcome() != ExecutionOutcome.NOT_RUN;
	}

	private static long clampMillis(long millis) {
		return Math.min(Math.max(millis, 0), MAX_TIMEOUT_MILLIS);
	}

}
