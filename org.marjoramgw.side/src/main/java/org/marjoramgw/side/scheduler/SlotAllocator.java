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
 * Grants slots of the backend server to queued requests and takes them back.
 *
 * @author The marjoramgw authors
 */
final class SlotAllocator {

	private final MillisClock clock;

	private final SlotScheduler policy;

	private final RequestTable requests;

	private final Journal journal;

	private final BackendHealth health;

	private ExecutionManager executions;

	private Configuration configuration;

	SlotAllocator(MillisClock clock, SlotScheduler policy, RequestTable requests, Journal journal,
			BackendHealth health) {
		this.clock = clock;
		this.policy = policy;
		this.requests = requests;
		this.journal = journal;
		this.health = health;
	}

	void setExecutions(ExecutionManager newExecutions) {
		this.executions = newExecutions;
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
	 * Assigns free slots to queued requests, then preempts lower tiers where the policy
	 * decides so.
	 */
	void dispatch() {
		long nowMillis = this.clock.nowMillis();
		refuseExpired(nowMillis);
		if (this.health.isBackingOff(nowMillis)) {
			return;
		}
		Optional<WaitingRequest> next = this.policy.grantNext(nowMillis);
		while (next.isPresent()) {
			assignSlot(next.get(), nowMillis);
			next = this.policy.grantNext(nowMillis);
		}
		Optional<Preemption> preemption = this.policy.preempt(nowMillis);
		while (preemption.isPresent()) {
			applyPreemption(preemption.get(), nowMillis);
			preemption = this.policy.preempt(nowMillis);
		}
	}

	/**
	 * Frees the slot of a request and assigns it to a queued one.
	 * @param request the request
	 */
	void free(ScheduledRequest request) {
		this.policy.free(request.key(), this.clock.nowMillis());
		dispatch();
	}

	/**
	 * Removes a request in any state and frees its slot if it holds one.
	 * @param request the request
	 * @param code result code that answers later messages about the request
	 */
	void discard(ScheduledRequest request, ResultCode code) {
		this.policy.withdraw(request.key());
		this.requests.remove(request, code);
		free(request);
	}

	/**
	 * Revokes the grants whose request body did not arrive within the grant timeout.
	 */
	void revokeExpiredGrants() {
		long nowMillis = this.clock.nowMillis();
		for (ScheduledRequest request : this.requests.matching((candidate) -> isGrantExpired(candidate, nowMillis))) {
			revokeGrant(request);
		}
	}

	void revokeGrant(ScheduledRequest request) {
		this.journal.recordDecision(request, "grant_timeout", null, "until_ms=" + request.grantExpiryMillis());
		this.journal.count("grant_timeouts");
		this.requests.remove(request, ResultCode.GRANT_EXPIRED);
		this.policy.free(request.key(), this.clock.nowMillis());
	}

	boolean isGrantExpired(ScheduledRequest request, long nowMillis) {
		return request.state() == RequestState.GRANTED && nowMillis > request.grantExpiryMillis();
	}

	/**
	 * Refuses all queued requests, none of which has run.
	 * @param code result code
	 * @param retryAfterMillis delay before a retry, in milliseconds
	 */
	void refuseQueued(ResultCode code, long retryAfterMillis) {
		for (ScheduledRequest request : this.requests
			.matching((candidate) -> candidate.state() == RequestState.QUEUED)) {
			refuse(request, code, retryAfterMillis);
		}
	}

	private void refuseExpired(long nowMillis) {
		for (WaitingRequest expired : this.policy.expired(nowMillis)) {
			ScheduledRequest request = this.requests.get(expired.key());
			refuse(request, ResultCode.DEADLINE_UNREACHABLE, 0);
		}
	}

	private void refuse(ScheduledRequest request, ResultCode code, long retryAfterMillis) {
		RequestKey key = request.key();
		this.policy.withdraw(key);
		this.requests.remove(request, code);
		this.journal.recordDecision(request, "refuse", code,
				"waited_ms=" + (this.clock.nowMillis() - request.waiting().arrivedMillis()));
		request.send(new Message.Refusal(key.requestId(), key.attempt(), code.number(), retryAfterMillis));
	}

	private void assignSlot(WaitingRequest waiting, long nowMillis) {
		ScheduledRequest request = this.requests.get(waiting.key());
		if (waiting.resumed()) {
			this.journal.recordDecision(request, "resume", null, describe(waiting, nowMillis));
			this.executions.execute(request);
			return;
		}
		long timeoutMillis = this.configuration.limits().grantTimeoutMillis();
		request.grant(nowMillis, timeoutMillis);
		this.journal.recordDecision(request, "grant", null, describe(waiting, nowMillis));
		this.journal.count("grants");
		request.send(new Message.Grant(waiting.key().requestId(), waiting.key().attempt(), timeoutMillis));
	}

	private void applyPreemption(Preemption preemption, long nowMillis) {
		ScheduledRequest victim = this.requests.get(preemption.preempted());
		this.executions.preempt(victim, preemption.granted());
		assignSlot(preemption.granted(), nowMillis);
	}

	private String describe(WaitingRequest waiting, long nowMillis) {
		int bestWaiting = this.policy.queues().all().stream().mapToInt(WaitingRequest::tier).min().orElse(0);
		return "account=" + waiting.account() + " waited_ms=" + (nowMillis - waiting.arrivedMillis()) + " taken="
				+ this.policy.takenSlots() + " limit=" + this.policy.slotLimit() + " queued="
				+ this.policy.queues().size() + " best_tier_waiting=" + bestWaiting + " by_floor="
				+ (bestWaiting > 0 && bestWaiting < waiting.tier());
	}

}
