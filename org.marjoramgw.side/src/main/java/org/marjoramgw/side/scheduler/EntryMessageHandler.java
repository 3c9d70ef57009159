package org.marjoramgw.side.scheduler;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.wire.Message;

/**
 * Handles the messages of entries about their requests.
 *
 * @author The marjoramgw authors
 */
final class EntryMessageHandler {

	private final MillisClock clock;

	private final SlotAllocator slots;

	private final RequestTable requests;

	private final ExecutionManager executions;

	private final ReservationHandler reservations;

	private final ResponseDelivery responses;

	private final Journal journal;

	private final RefusalSender refusals;

	EntryMessageHandler(MillisClock clock, SlotAllocator slots, RequestTable requests, ExecutionManager executions,
			ReservationHandler reservations, ResponseDelivery responses, Journal journal, RefusalSender refusals) {
		this.clock = clock;
		this.slots = slots;
		this.requests = requests;
		this.executions = executions;
		this.reservations = reservations;
		this.responses = responses;
		this.journal = journal;
		this.refusals = refusals;
	}

	/**
	 * Handles one message.
	 * @param link connection that it came over
	 * @param message the message
	 */
	void handle(EntryLink link, Message message) {
		if (message instanceof Message.Reserve reserve) {
			this.reservations.reserve(link, keyOf(link, reserve.requestId(), reserve.attempt()), reserve);
		}
		else if (message instanceof Message.Run run) {
			onRun(link, keyOf(link, run.requestId(), run.attempt()), run);
		}
		else if (message instanceof Message.Ack ack) {
			this.responses.acknowledge(keyOf(link, ack.requestId(), ack.attempt()), ack.nextSequence());
		}
		else if (message instanceof Message.Release release) {
			onRelease(keyOf(link, release.requestId(), release.attempt()));
		}
		else if (message instanceof Message.Cancel cancel) {
			onCancel(link, keyOf(link, cancel.requestId(), cancel.attempt()));
		}
		else if (message instanceof Message.Resume resume) {
			this.responses.resume(link, keyOf(link, resume.requestId(), resume.attempt()), resume.nextSequence());
		}
	}

	private void onRun(EntryLink link, RequestKey key, Message.Run run) {
		ScheduledRequest request = this.requests.get(key);
		if (request != null && this.slots.isGrantExpired(request, this.clock.nowMillis())) {
			this.slots.revokeGrant(request);
			request = null;
		}
		if (request == null) {
			ResultCode code = this.requests.tombstones().find(key).orElse(ResultCode.UNKNOWN_RESERVATION);
			refuse(link, key, code, "request body without a reservation");
		}
		else if (request.state() == RequestState.GRANTED) {
			acceptRun(link, request, run);
		}
		else if (request.state() == RequestState.QUEUED) {
			this.slots.discard(request, ResultCode.UNKNOWN_RESERVATION);
			refuse(link, key, ResultCode.UNKNOWN_RESERVATION, "request body before the grant");
		}
		else {
			this.journal.count("repeated_runs");
		}
	}

	private void acceptRun(EntryLink link, ScheduledRequest request, Message.Run run) {
		int maxBodyBytes = this.slots.configuration().orElseThrow().limits().bodyBytes();
		if (run.call().body().length > maxBodyBytes) {
			this.slots.discard(request, ResultCode.BODY_TOO_LARGE);
			refuse(link, request.key(), ResultCode.BODY_TOO_LARGE, "");
			return;
		}
		request.setLink(link);
		this.executions.accept(request, run.call());
	}

	private void onRelease(RequestKey key) {
		ScheduledRequest request = this.requests.get(key);
		if (request != null && request.state().awaitsBody()) {
			this.journal.recordDecision(request, "release", ResultCode.RELEASED, "");
			this.slots.discard(request, ResultCode.RELEASED);
		}
	}

	private void onCancel(EntryLink link, RequestKey key) {
		ScheduledRequest request = this.requests.get(key);
		if (request == null) {
			ResultCode code = this.requests.tombstones()
				.find(key)
				.filter((known) -> known == ResultCode.ANSWER_NOT_KEPT)
				.map((known) -> ResultCode.CANCELLED_IN_FLIGHT)
				.orElse(ResultCode.CANCELLED_BEFORE_START);
			if (code == ResultCode.CANCELLED_BEFORE_START) {
				this.requests.tombstones().put(key, code);
			}
			refuse(link, key, code, "cancel");
		}
		else if (request.state() == RequestState.DONE) {
			this.requests.remove(request, ResultCode.ANSWER_NOT_KEPT);
			refuse(link, key, ResultCode.CANCELLED_IN_FLIGHT, "cancel after completion");
		}
		else if (request.state().isInFlight()) {
			request.setLink(link);
			this.executions.stop(request, ResultCode.CANCELLED_IN_FLIGHT);
		}
		else {
			this.slots.discard(request, ResultCode.CANCELLED_BEFORE_START);
			refuse(link, key, ResultCode.CANCELLED_BEFORE_START, "cancel");
		}
	}

	private void refuse(EntryLink link, RequestKey key, ResultCode code, String detail) {
		this.refusals.send(link, key, code, 0, detail);
	}

	private static RequestKey keyOf(EntryLink link, String requestId, int attempt) {
		return new RequestKey(link.peer().processId(), link.peer().incarnation(), requestId, attempt);
	}

}
