package org.marjoramgw.policy.slot;

import java.util.Objects;

import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;

/**
 * Times by which a waiting request has to start, and how long it waits before it may
 * preempt a stream or stops being deferred.
 *
 * @author The marjoramgw authors
 */
final class StartDeadlines {

	private static final int PERCENT = 100;

	/** Percentage of the target for the first token reserved for prefill and batching. */
	private static final int FIRST_TOKEN_ALLOWANCE_PERCENT = 10;

	/**
	 * Minimum percentage of its time to the target that a request waits before a
	 * preemption.
	 */
	private static final int PREEMPT_AFTER_PERCENT = 25;

	/**
	 * Range of the jitter added to that percentage. A request waits at several side
	 * processes; if all of them preempted at the same time, all preemptions but one would
	 * be wasted.
	 */
	private static final int PREEMPT_JITTER_PERCENT = 25;

	/**
	 * Percentage of its time to the target for which a request is left to faster engines
	 * while the token gap of this one exceeds the target of the class.
	 */
	private static final int DEFER_PERCENT = 40;

	private final int jitterSeed;

	/**
	 * Creates the deadlines of one side process.
	 * @param jitterSeed number that differs between side processes
	 */
	StartDeadlines(int jitterSeed) {
		this.jitterSeed = jitterSeed;
	}

	/**
	 * Returns the time left until the latest start that meets the target of a class.
	 * @param requestClass the class
	 * @param isTopTier whether the class is of the top tier
	 * @param startWithinMillis time left until the latest useful start, in milliseconds
	 * @return time in milliseconds, not negative
	 */
	long targetStartWithinMillis(RequestClass requestClass, boolean isTopTier, long startWithinMillis) {
		long firstTokenMillis = requestClass.firstTokenMillis();
		boolean continued = startWithinMillis > firstTokenMillis && !isTopTier;
		if (firstTokenMillis == 0 || continued) {
			return startWithinMillis;
		}
		long allowanceMillis = firstTokenMillis * FIRST_TOKEN_ALLOWANCE_PERCENT / PERCENT;
		return Math.max(Math.min(startWithinMillis, firstTokenMillis) - allowanceMillis, 0);
	}

	/**
	 * Returns whether a stream may be preempted in favor of a request.
	 * @param request the request
	 * @param nowMillis current time, in milliseconds
	 * @return whether it has waited long enough and can still meet its target
	 */
	boolean isPreemptionDue(WaitingRequest request, long nowMillis) {
		int afterPercent = PREEMPT_AFTER_PERCENT + jitterPercent(request.key());
		return hasWaited(request, afterPercent, nowMillis) && !request.isLate(nowMillis);
	}

	/**
	 * Returns whether a request may still be left to faster engines.
	 * @param request the request
	 * @param nowMillis current time, in milliseconds
	 * @return whether it wasn't preempted here and has enough time left
	 */
	boolean isDeferrable(WaitingRequest request, long nowMillis) {
		return !request.resumed() && !hasWaited(request, DEFER_PERCENT, nowMillis);
	}

	private static boolean hasWaited(WaitingRequest request, int percent, long nowMillis) {
		long targetMillis = request.targetStartMillis() - request.arrivedMillis();
		return nowMillis - request.arrivedMillis() >= targetMillis * percent / PERCENT;
	}

	private int jitterPercent(RequestKey key) {
		return Math.floorMod(Objects.hash(key.requestId(), this.jitterSeed), PREEMPT_JITTER_PERCENT);
	}

}
