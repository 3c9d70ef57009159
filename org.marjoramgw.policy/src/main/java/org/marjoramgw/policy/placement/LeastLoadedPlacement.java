package org.marjoramgw.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The server where the sender has least work, the sender's own failure domain first among
 * equals.
 *
 * @author The marjoramgw authors
 */
public final class LeastLoadedPlacement implements Placement {

	private final Random random;

	/**
	 * Creates a placement.
	 * @param random source of randomness, for ties
	 */
	public LeastLoadedPlacement(Random random) {
		this.random = random;
	}

	@Override
	public Optional<ServerView> choose(String affinityKey, String failureDomain, List<ServerView> servers) {
		List<ServerView> sound = SuspectFilter.excludeSuspects(servers);
		if (sound.isEmpty()) {
			return Optional.empty();
		}
		int start = this.random.nextInt(sound.size());
		Comparator<ServerView> order = Comparator.comparingDouble(ServerView::load)
			.thenComparing((server) -> !server.failureDomain().equals(failureDomain));
		ServerView best = sound.get(start);
		for (int step = 1; step < sound.size(); step++) {
			ServerView next = sound.get((start + step) % sound.size());
			if (order.compare(next, best) < 0) {
				best = next;
			}
		}
		return Optional.of(best);
	}

}
