package org.marjoramgw.policy.slot;

import java.util.Objects;

import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;

/**
 * Times by which a waiting request has to start, and what is due on the way.
 *
 * @author The marjoramgw authors
 */
final class StartDeadlines {

	private static final int PERCENT = 100;

	/** Part of the target for the first token that is left to prefill and batching. */
	private static final int FIRST_TOKEN_ALLOWANCE_PERCENT = 10;

	/** Least part of its time to the target that a request waits before a preemption. */
	private static final int PREEMPT_AFTER_PERCENT = 25;

	/**
	 * Spread of that part. A request waits at several side processes; were they all to
	 * preempt at once, all but one would do so in vain.
	 */
	private static final int PREEMPT_JITTER_PERCENT = 25;

	/**
	 * Part of its time to the target that a request leaves to faster engines, while this
	 * one spaces its tokens further apart than the class allows.
	 */
	private static final int DEFER_PERCENT = 40;

	private final int jitterSeed;

	/**
	 * Creates the rules of one side process.
	 * @param spreadSeed number that differs between side processes
	 */
	StartDeadlines(int spreadSeed) {
		this.jitterSeed = spreadSeed;
	}

	/**
	 * Returns the time left until the latest start that meets the target of a class.
	 * @param requestClass the class
	 * @param top whether it is of the top tier
	 * @param startWithinMillis time left until the latest useful start, in milliseconds
	 * @return time in milliseconds, not negative
	 */
	long targetStartWithinMillis(RequestClass requestClass, boolean top, long startWithinMillis) {
		long firstTokenMillis = requestClass.firstTokenMillis();
		boolean begun = startWithinMillis > firstTokenMillis && !top;
		if (firstTokenMillis == 0 || begun) {
			return startWithinMillis;
		}
		long allowanceMillis = firstTokenMillis * FIRST_TOKEN_ALLOWANCE_PERCENT / PERCENT;
		return Math.max(Math.min(startWithinMillis, firstTokenMillis) - allowanceMillis, 0);
	}

	/**
	 * Returns whether a stream may be preempted for a request.
	 * @param request the request
	 * @param nowMillis current time, in milliseconds
	 * @return whether it has waited for long enough and isn't late
	 */
	boolean isPreemptionDue(WaitingRequest request, long nowMillis) {
		int afterPercent = PREEMPT_AFTER_PERCENT + jitterPercent(request.key());
		return hasWaited(request, afterPercent, nowMillis) && !request.isLate(nowMillis);
	}

	/**
	 * Returns whether a request may still be left to faster engines.
	 * @param request the request
	 * @param nowMillis current time, in milliseconds
	 * @return whether it is new here and has time left
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
