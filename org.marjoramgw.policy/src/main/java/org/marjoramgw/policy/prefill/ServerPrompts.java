package org.marjoramgw.policy.prefill;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.marjoramgw.policy.waiting.Urgency;

/**
 * Prompts in prefill at one server, and those that wait for it. Not thread-safe; guarded
 * by the lock of its limiter.
 * <p>
 * The server prefills the most urgent prompt first, so that less urgent prompts there
 * don't delay it. Each of them therefore makes room for one more urgent prompt.
 *
 * @author The marjoramgw authors
 */
final class ServerPrompts {

	private static final Comparator<PrefillLimiter.Permit> ORDER = Urgency.order(PrefillLimiter.Permit::urgency,
			PrefillLimiter.Permit::sequence);

	private final Map<String, AimdLimit> limitByKind = new HashMap<>();

	private final Map<String, Integer> inFlightByKind = new HashMap<>();

	private final TreeSet<PrefillLimiter.Permit> inFlight = new TreeSet<>(ORDER);

	/**
	 * Prompts in prefill that were not admitted; the limit of their kind ignores them.
	 */
	private final Set<PrefillLimiter.Permit> uncounted = new HashSet<>();

	private final TreeSet<PrefillLimiter.Permit> waiting = new TreeSet<>(ORDER);

	/**
	 * Tells whether a prompt may be sent now.
	 * @param permit permit of the prompt
	 * @return whether its kind has room, counting one more for each less urgent prompt in
	 * prefill, and no more urgent one waits
	 */
	boolean mayAdmit(PrefillLimiter.Permit permit) {
		return mayAdmit(permit.kind(), permit.urgency());
	}

	private boolean mayAdmit(String kind, Urgency urgency) {
		if (!this.waiting.isEmpty() && this.waiting.first().urgency().outranks(urgency)) {
			return false;
		}
		int countedCount = this.inFlightByKind.getOrDefault(kind, 0) - inFlightBelow(urgency);
		AimdLimit limit = this.limitByKind.get(kind);
		return ((limit != null) ? limit : new AimdLimit()).hasRoom(countedCount);
	}

	/**
	 * Returns the queue as a prompt would find it.
	 * @param kind kind of request
	 * @param urgency urgency of the prompt
	 * @return the queue
	 */
	PrefillQueue queue(String kind, Urgency urgency) {
		int beforeCount = (int) this.waiting.stream().filter((permit) -> permit.urgency().precedes(urgency)).count();
		return new PrefillQueue(mayAdmit(kind, urgency), this.inFlight.size(), this.waiting.size(), beforeCount);
	}

	void admit(PrefillLimiter.Permit permit) {
		this.inFlight.add(permit);
		this.inFlightByKind.merge(permit.kind(), 1, Integer::sum);
	}

	/**
	 * Moves a prompt that is sent without being admitted from those that wait to those in
	 * prefill. It doesn't count against the limit of its kind.
	 * @param permit its permit
	 */
	void bypass(PrefillLimiter.Permit permit) {
		if (this.waiting.remove(permit)) {
			this.inFlight.add(permit);
			this.uncounted.add(permit);
		}
	}

	void await(PrefillLimiter.Permit permit) {
		this.waiting.add(permit);
	}

	/**
	 * Removes a prompt.
	 * @param permit its permit
	 * @return whether it was admitted
	 */
	boolean remove(PrefillLimiter.Permit permit) {
		this.waiting.remove(permit);
		if (!this.inFlight.remove(permit) || this.uncounted.remove(permit)) {
			return false;
		}
		this.inFlightByKind.merge(permit.kind(), -1, Integer::sum);
		return true;
	}

	/**
	 * Takes the prompts that wait and may be sent now, the most urgent first.
	 * @return their permits, which are in prefill from now on
	 */
	List<PrefillLimiter.Permit> admitWaiting() {
		List<PrefillLimiter.Permit> admitted = new ArrayList<>();
		for (PrefillLimiter.Permit permit : new ArrayList<>(this.waiting)) {
			if (mayAdmit(permit)) {
				this.waiting.remove(permit);
				admit(permit);
				admitted.add(permit);
			}
		}
		return admitted;
	}

	/**
	 * Takes all prompts that wait.
	 * @return their permits, the most urgent first
	 */
	List<PrefillLimiter.Permit> takeWaiting() {
		List<PrefillLimiter.Permit> taken = new ArrayList<>(this.waiting);
		this.waiting.clear();
		return taken;
	}

	/**
	 * Raises the limit of a kind whose first token arrived in time.
	 * @param kind kind of request
	 */
	void onTimely(String kind) {
		limit(kind).onTimely();
	}

	/**
	 * Lowers the limit of the least urgent kind in prefill, because a first token was
	 * late.
	 * @param late permit of the late prompt, which is no longer in prefill
	 * @param nowMillis present time by the monotonic clock, in milliseconds
	 */
	void onLate(PrefillLimiter.Permit late, long nowMillis) {
		String kind = (inFlightBelow(late.urgency()) > 0) ? this.inFlight.last().kind() : late.kind();
		limit(kind).onLate(late.sentMillis(), nowMillis);
	}

	int waitingCount() {
		return this.waiting.size();
	}

	boolean isEmpty() {
		return this.inFlight.isEmpty() && this.waiting.isEmpty();
	}

	private int inFlightBelow(Urgency urgency) {
		int count = 0;
		for (PrefillLimiter.Permit leastUrgentFirst : this.inFlight.descendingSet()) {
			if (!urgency.outranks(leastUrgentFirst.urgency())) {
				return count;
			}
			count++;
		}
		return count;
	}

	private AimdLimit limit(String kind) {
		return this.limitByKind.computeIfAbsent(kind, (key) -> new AimdLimit());
	}

}
