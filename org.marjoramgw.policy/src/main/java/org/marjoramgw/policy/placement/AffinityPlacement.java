package org.marjoramgw.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

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
		return chooseWeighted(query.affinityKey(),
				candidates.stream().map((server) -> new WeightedServer(server, 1)).toList());
	}

	/**
	 * Chooses among servers of which some are to get a smaller share.
	 * @param affinityKey text that requests with a common prompt share
	 * @param candidates the servers
	 * @return the server, or empty if there is none
	 */
	Optional<ServerView> chooseWeighted(String affinityKey, List<WeightedServer> candidates) {
		double mean = candidates.stream().mapToDouble(WeightedServer::relativeLoad).average().orElse(0);
		double bound = LOAD_BOUND_FACTOR * mean + this.slack;
		return candidates.stream()
			.filter((candidate) -> candidate.relativeLoad() <= bound)
			.max(Comparator.comparingDouble((candidate) -> candidate.score(affinityKey)))
			.map(WeightedServer::server);
	}

	@Override
	public String rule(PlacementQuery query, List<ServerView> servers) {
		return query.affinityKey().isEmpty() ? this.fallback.rule(query, servers)
				: "hash of the shared prompt parts, among servers with an own load of at most " + LOAD_BOUND_FACTOR
						+ " times the mean plus " + this.slack;
	}

}
