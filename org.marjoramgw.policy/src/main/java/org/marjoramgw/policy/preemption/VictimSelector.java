package org.marjoramgw.policy.preemption;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Selects the stream to preempt in favor of a request of a higher tier.
 * <p>
 * Prefers the lowest tier and within it the stream that is cheapest to resume. Never
 * selects a stream of an equal or higher tier, one whose class would fall below its floor
 * or one that has already been preempted the maximum number of times.
 *
 * @author The marjoramgw authors
 */
public final class VictimSelector {

	private static final int MAX_PREEMPTIONS = 3;

	private static final Comparator<RunningRequest> LOWEST_TIER_THEN_CHEAPEST = Comparator
		.comparingInt(RunningRequest::tier)
		.reversed()
		.thenComparingLong(RunningRequest::contextTokens);

	/**
	 * Selects a stream.
	 * @param tier tier of the waiting request
	 * @param running streams that can be resumed
	 * @param canYieldSlot whether a class keeps its floor without one of its slots
	 * @return the stream to preempt, or empty if none may be
	 */
	public Optional<RunningRequest> select(int tier, Collection<RunningRequest> running,
			Predicate<String> canYieldSlot) {
		return running.stream()
			.filter((request) -> request.tier() > tier)
			.filter((request) -> request.preemptedCount() < MAX_PREEMPTIONS)
			.filter((request) -> canYieldSlot.test(request.requestClass()))
			.min(LOWEST_TIER_THEN_CHEAPEST);
	}

}
