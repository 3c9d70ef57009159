package org.marjoramgw.entry.dispatch;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.marjoramgw.policy.candidate.Candidate;
import org.marjoramgw.policy.candidate.CandidateQuery;
import org.marjoramgw.wire.Message;

/**
 * Reservations of one request: where it waits for a slot and where it was refused.
 *
 * @author The marjoramgw authors
 */
final class Reservations {

	private static final int MAX_WAITING_COUNT = 6;

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
	 * Starts a round under a new attempt number.
	 * @param begun whether an earlier run was lost, so that only the deadline of the
	 * whole answer counts
	 * @return whether any side process got a reservation
	 */
	boolean startRound(boolean begun) {
		this.attempt++;
		this.startByMillis = begun ? this.finishDeadlineMillis : this.startDeadlineMillis;
		int asked = ask(wantedCount());
		if (asked == 0 && !this.triedSideIds.isEmpty()) {
			this.triedSideIds.clear();
			asked = ask(wantedCount());
		}
		return asked > 0;
	}

	/**
	 * Asks one more side process under the same attempt number, within a bound.
	 * @return whether there is room for yet another one
	 */
	boolean widen() {
		if (this.waitingSideIds.size() < MAX_WAITING_COUNT) {
			ask(1);
		}
		return this.waitingSideIds.size() < MAX_WAITING_COUNT;
	}

	/**
	 * Drops the reservation at one side process.
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
	 * Releases every reservation.
	 */
	void releaseAll() {
		for (String sideId : this.waitingSideIds) {
			this.context.sides().send(sideId, new Message.Release(this.request.requestId(), this.attempt));
		}
		this.waitingSideIds.clear();
	}

	/**
	 * Returns how many candidates a round asks. A keyed call asks one, so that few
	 * processes read its partition of the claims.
	 * @return the count
	 */
	private int wantedCount() {
		return this.request.hasIdempotencyKey() ? 1 : this.context.limits().candidateCount();
	}

	private int ask(int count) {
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
