package org.marjoramgw.trace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.marjoramgw.MillisClock;
import org.marjoramgw.ResultCode;

/**
 * Bounded in-memory record of recent decisions; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class DecisionLog {

	private final MillisClock clock;

	private final int maxDecisions;

	private final Deque<Decision> decisions = new ArrayDeque<>();

	/**
	 * Creates a record.
	 * @param clock the clock
	 * @param maxDecisions bound of the decisions kept; the oldest go first
	 */
	public DecisionLog(MillisClock clock, int maxDecisions) {
		this.clock = clock;
		this.maxDecisions = maxDecisions;
	}

	/**
	 * Records a decision.
	 * @param requestId id of the request
	 * @param step what was decided
	 * @param code the result, or {@code null} if none
	 * @param detail details for people
	 */
	public synchronized void add(String requestId, String step, ResultCode code, String detail) {
		if (this.decisions.size() >= this.maxDecisions) {
			this.decisions.removeFirst();
		}
		int number = (code != null) ? code.number() : 0;
		this.decisions.addLast(new Decision(this.clock.nowMillis(), requestId, step, number, detail));
	}

	/**
	 * Finds the decisions about one request.
	 * @param requestId id of the request
	 * @return the decisions, oldest first
	 */
	public synchronized List<Decision> findByRequest(String requestId) {
		return this.decisions.stream().filter((decision) -> decision.requestId().equals(requestId)).toList();
	}

	/**
	 * Returns all decisions that are kept.
	 * @return the decisions, oldest first
	 */
	public synchronized List<Decision> all() {
		return List.copyOf(this.decisions);
	}

}
