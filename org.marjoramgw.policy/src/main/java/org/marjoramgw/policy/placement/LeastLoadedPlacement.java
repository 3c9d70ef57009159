package org.marjoramgw.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Places a request on the server where the sender has the least work. Among equally
 * loaded servers, those in the failure domain of the sender are preferred.
 *
 * @author The marjoramgw authors
 */
public final class LeastLoadedPlacement implements Placement {

	private final Random random;

	/**
	 * Creates a placement.
	 * @param random source of randomness, to break ties
	 */
	public LeastLoadedPlacement(Random random) {
		this.random = random;
	}

	@Override
	public Optional<ServerView> choose(PlacementQuery query, List<ServerView> servers) {
		List<ServerView> candidates = SuspectFilter.excludeSuspects(servers);
		if (candidates.isEmpty()) {
			return Optional.empty();
		}
		int start = this.random.nextInt(candidates.size());
		Comparator<ServerView> order = Comparator.comparingDouble(ServerView::load)
			.thenComparing((server) -> !server.failureDomain().equals(query.failureDomain()));
		ServerView best = candidates.get(start);
		for (int offset = 1; offset < candidates.size(); offset++) {
			ServerView next = candidates.get((start + offset) % candidates.size());
			if (order.compare(next, best) < 0) {
				best = next;
			}
		}
		return Optional.of(best);
	}

	@Override
	public String rule(PlacementQuery query, List<ServerView> servers) {
		return "least own load, then own failure domain, then at random";
	}

}
