package org.marjoramgw.trace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;

/**
 * Bounded in-memory log of recent decisions. This class is thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class DecisionLog {

	private final MillisClock clock;

	private final int maxDecisions;

	private final Deque<Decision> decisions = new ArrayDeque<>();

	/**
	 * Creates an empty log.
	 * @param clock clock for the times of the decisions
	 * @param maxDecisions maximum number of decisions; the oldest are evicted first
	 */
	public DecisionLog(MillisClock clock, int maxDecisions) {
		this.clock = clock;
		this.maxDecisions = maxDecisions;
	}

	/**
	 * Adds a decision.
	 * @param requestId id of the request
	 * @param step kind of decision, for example {@code grant}
	 * @param code the result code, or {@code null} for none
	 * @param detail human-readable details
	 */
	public synchronized void add(String requestId, String step, ResultCode code, String detail) {
		if (this.decisions.size() >= this.maxDecisions) {
			this.decisions.removeFirst();
		}
		int number = (code != null) ? code.number() : 0;
		this.decisions.addLast(new Decision(this.clock.nowMillis(), requestId, step, number, detail));
	}

	/**
	 * Returns the decisions about one request.
	 * @param requestId id of the request
	 * @return the decisions, oldest first
	 */
	public synchronized List<Decision> findByRequest(String requestId) {
		return this.decisions.stream().filter((decision) -> decision.requestId().equals(requestId)).toList();
	}

	/**
	 * Returns all decisions in the log.
	 * @return the decisions, oldest first
	 */
	public synchronized List<Decision> all() {
		return List.copyOf(this.decisions);
	}

}
