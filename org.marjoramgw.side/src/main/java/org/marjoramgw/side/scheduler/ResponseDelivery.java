package org.marjoramgw.side.scheduler;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;
import org.marjoramgw.policy.queue.RequestKey;

/**
 * Delivers responses to the entries: handles acknowledgement, resumption on another
 * connection and expiry.
 *
 * @author The marjoramgw authors
 */
final class ResponseDelivery {

	private static final long REFUSAL_RETENTION_MILLIS = 2_000;

	private static final int MAX_RETENTION_FACTOR = 3;

	private final MillisClock clock;

	private final RequestTable requests;

	private final SlotAllocator slots;

	private final EntrySessions sessions;

	private final Journal journal;

	private final RefusalSender refusals;

	private final long retentionMillis;

	ResponseDelivery(MillisClock clock, RequestTable requests, SlotAllocator slots, EntrySessions sessions,
			Journal journal, RefusalSender refusals, long retentionMillis) {
		this.clock = clock;
		this.requests = requests;
		this.slots = slots;
		this.sessions = sessions;
		this.journal = journal;
		this.refusals = refusals;
		this.retentionMillis = retentionMillis;
	}

	void acknowledge(RequestKey key, long nextSequence) {
		ScheduledRequest request = this.requests.get(key);
		if (request != null && request.response().acknowledge(nextSequence)) {
			this.requests.remove(request, ResultCode.ANSWER_NOT_KEPT);
		}
	}

	void resume(EntryLink link, RequestKey key, long nextSequence) {
		ScheduledRequest request = this.requests.get(key);
		if (request == null) {
			ResultCode code = this.requests.tombstones().find(key).orElse(ResultCode.ANSWER_NOT_KEPT);
			refuse(link, key, code);
			return;
		}
		if (request.state().awaitsBody()) {
			refuseWithoutBody(link, request);
			return;
		}
		if (!request.response().isRetainedFrom(nextSequence)) {
			refuse(link, key, ResultCode.ANSWER_NOT_KEPT);
			return;
		}
		this.journal.recordDecision(request, "rebind", ResultCode.RETRY_RESUMED, "from=" + nextSequence);
		request.setLink(link);
		request.response().acknowledge(nextSequence);
		request.response().messagesFrom(nextSequence).forEach(link::send);
	}

	/**
	 * Removes finished responses whose retention time has passed.
	 */
	void removeExpired() {
		long nowMillis = this.clock.nowMillis();
		for (ScheduledRequest request : this.requests.matching((candidate) -> isExpired(candidate, nowMillis))) {
			this.requests.remove(request, ResultCode.ANSWER_NOT_KEPT);
		}
	}

	private boolean isExpired(ScheduledRequest request, long nowMillis) {
		if (request.state() != RequestState.DONE) {
			return false;
		}
		boolean delivered = request.refused() && request.link() != null;
		if (delivered) {
			return nowMillis - request.finishedMillis() > Math.min(REFUSAL_RETENTION_MILLIS, this.retentionMillis);
		}
		long sinceMillis = Math.max(request.finishedMillis(), this.sessions.lastSeenMillis(request.key(), nowMillis));
		return nowMillis - sinceMillis > this.retentionMillis
				|| nowMillis - request.finishedMillis() > this.retentionMillis * MAX_RETENTION_FACTOR;
	}

	// the body was lost with the old connection; the tombstone refuses it if it still
	// arrives
	private void refuseWithoutBody(EntryLink link, ScheduledRequest request) {
		this.slots.discard(request, ResultCode.GRANT_EXPIRED);
		refuse(link, request.key(), ResultCode.GRANT_EXPIRED);
	}

	private void refuse(EntryLink link, RequestKey key, ResultCode code) {
		this.refusals.send(link, key, code, 0, "on_resume=true");
	}

}
