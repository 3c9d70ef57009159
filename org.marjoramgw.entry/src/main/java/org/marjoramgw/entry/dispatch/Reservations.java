package org.marjoramgw.entry.dispatch;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.marjoramgw.policy.candidate.Candidate;
import org.marjoramgw.policy.candidate.CandidateQuery;
import org.marjoramgw.wire.Message;

/**
 * Reservations of one request: the side processes where it waits for a slot, and those
 * that were tried already.
 *
 * @author The marjoramgw authors
 */
final class Reservations {

	private static final int MAX_WAITING_RESERVATIONS = 6;

	private final RoutedRequest request;

	private final DispatchContext context;

	private final long startDeadlineMillis;

	private final long finishDeadlineMillis;

	private final Set<String> waitingSideIds = new LinkedHashSet<>();

	private final Set<String> triedSideIds = new HashSet<>();

	private int attempt;

	private long startByMillis;

	Reservations(RoutedRequest request, DispatchContext context, long startDeadlineMillis, long finishDeadlineMillis) {
		this.request = request;
		this.context = context;
		this.startDeadlineMillis = startDeadlineMillis;
		this.finishDeadlineMillis = finishDeadlineMillis;
	}

	int attempt() {
		return this.attempt;
	}

	boolean isWaiting() {
		return !this.waitingSideIds.isEmpty();
	}

	boolean isWaitingAt(String sideId) {
		return this.waitingSideIds.contains(sideId);
	}

	/**
	 * Starts a round of reservations under a new attempt number.
	 * @param mayHaveRun whether an earlier run may have run, so that the request may
	 * start until the deadline of the complete response
	 * @return whether a reservation was sent to any side process
	 */
	boolean startRound(boolean mayHaveRun) {
		this.attempt++;
		this.startByMillis = mayHaveRun ? this.finishDeadlineMillis : this.startDeadlineMillis;
		int reservedCount = reserveCandidates(candidateCount());
		if (reservedCount == 0 && !this.triedSideIds.isEmpty()) {
			this.triedSideIds.clear();
			reservedCount = reserveCandidates(candidateCount());
		}
		return reservedCount > 0;
	}

	/**
	 * Reserves at one more side process under the same attempt number, up to a maximum.
	 * @return whether the maximum is not yet reached
	 */
	boolean widen() {
		if (this.waitingSideIds.size() < MAX_WAITING_RESERVATIONS) {
			reserveCandidates(1);
		}
		return this.waitingSideIds.size() < MAX_WAITING_RESERVATIONS;
	}

	/**
	 * Removes the reservation at one side process without releasing it.
	 * @param sideId process id of the side process
	 */
	void remove(String sideId) {
		this.waitingSideIds.remove(sideId);
	}

	/**
	 * Marks a side process as tried, so that the next round prefers others.
	 * @param sideId process id of the side process
	 */
	void markTried(String sideId) {
		this.triedSideIds.add(sideId);
	}

	/**
	 * Releases all reservations.
	 */
	void releaseAll() {
		for (String sideId : this.waitingSideIds) {
			this.context.sides().send(sideId, new Message.Release(this.request.requestId(), this.attempt));
		}
		this.waitingSideIds.clear();
	}

	/**
	 * Returns the number of side processes in a round. A call with an idempotency key
	 * uses one, so that few processes read its partition of the claims.
	 * @return the number of candidates
	 */
	private int candidateCount() {
		return this.request.hasIdempotencyKey() ? 1 : this.context.limits().candidateCount();
	}

	private int reserveCandidates(int count) {
		List<Candidate> live = this.context.sides().live(this.request.service().pool());
		CandidateQuery query = new CandidateQuery(this.context.settings().failureDomain(), this.request.affinityKey(),
				count, this.triedSideIds);
		List<Candidate> candidates = this.context.selector().select(query, live);
		candidates.forEach((candidate) -> reserve(candidate.sideId()));
		return candidates.size();
	}

	private void reserve(String sideId) {
		long nowMillis = this.context.clock().nowMillis();
		this.waitingSideIds.add(sideId);
		this.triedSideIds.add(sideId);
		this.context.decisions()
			.add(this.request.requestId(), "reserve", null, "attempt " + this.attempt + " at " + sideId);
		this.context.sides()
			.send(sideId,
					new Message.Reserve(this.request.requestId(), this.attempt, this.request.service().name(),
							this.request.model(), this.request.requestClass().name(), this.request.account().name(),
							Math.max(1, this.startByMillis - nowMillis),
							Math.max(1, this.finishDeadlineMillis - nowMillis), this.request.promptTokens()));
	}

}
