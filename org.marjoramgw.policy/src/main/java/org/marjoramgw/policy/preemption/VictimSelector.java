package org.marjoramgw.policy.preemption;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Choice of the stream that makes room for a higher tier.
 * <p>
 * Takes the lowest tier first and within it the stream that is cheapest to resume. A
 * stream of an equal or higher tier is never chosen, nor one whose class would fall below
 * its floor, nor one that was preempted often already.
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
	 * Chooses a stream.
	 * @param tier tier of the request that waits
	 * @param running streams that can be resumed
	 * @param maySpare whether a class stays at its floor without one of its slots
	 * @return the stream to preempt, or empty if none may be
	 */
	public Optional<RunningRequest> select(int tier, Collection<RunningRequest> running, Predicate<String> maySpare) {
		return running.stream()
			.filter((request) -> request.tier() > tier)
			.filter((request) -> request.preemptedCount() < MAX_PREEMPTIONS)
			.filter((request) -> maySpare.test(request.requestClass()))
			.min(LOWEST_TIER_THEN_CHEAPEST);
	}

}
