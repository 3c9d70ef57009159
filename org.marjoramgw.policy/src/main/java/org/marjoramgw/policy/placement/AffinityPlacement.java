package org.marjoramgw.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.marjoramgw.policy.candidate.RendezvousHash;

/**
 * Places requests with a common prompt on the same server by rendezvous hashing with
 * bounded loads, so that they find the prompt cached.
 * <p>
 * The key of the prompt ranks the servers, and the first one whose load stays near the
 * mean is chosen. A prompt that many requests share at the same time therefore spreads
 * over as many servers as it needs, always the same ones.
 *
 * @author The marjoramgw authors
 */
public final class AffinityPlacement implements Placement {

	/** Maximum ratio of a server's load to the mean. */
	private static final double LOAD_BOUND_FACTOR = 1.5;

	private final double slack;

	private final Placement fallback;

	/**
	 * Creates a placement.
	 * @param slack load allowed in addition to that ratio, in the unit of
	 * {@link ServerView#load}
	 * @param fallback placement of requests without an affinity key
	 */
	public AffinityPlacement(double slack, Placement fallback) {
		this.slack = slack;
		this.fallback = fallback;
	}

	@Override
	public Optional<ServerView> choose(PlacementQuery query, List<ServerView> servers) {
		List<ServerView> candidates = SuspectFilter.excludeSuspects(servers);
		if (query.affinityKey().isEmpty()) {
			return this.fallback.choose(query, candidates);
		}
		double mean = candidates.stream().mapToDouble(ServerView::load).average().orElse(0);
		double bound = LOAD_BOUND_FACTOR * mean + this.slack;
		return candidates.stream()
			.filter((server) -> server.load() <= bound)
			.max(Comparator.comparingLong((server) -> RendezvousHash.score(query.affinityKey(), server.id())));
	}

	@Override
	public String rule(PlacementQuery query) {
		return query.affinityKey().isEmpty() ? this.fallback.rule(query)
				: "hash of the shared prompt parts, among servers with an own load of at most " + LOAD_BOUND_FACTOR
						+ " times the mean plus " + this.slack;
	}

}
