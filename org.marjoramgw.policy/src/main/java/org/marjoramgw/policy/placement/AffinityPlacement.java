package org.marjoramgw.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.marjoramgw.policy.candidate.RendezvousHash;

/**
 * The server that a shared prompt hashes to, so that cached parts are met again, as long
 * as its load stays near the mean; the next one of the prompt's ranking otherwise.
 * <p>
 * A part that many requests share at once so spreads over as many servers as it needs,
 * always the same ones.
 *
 * @author The marjoramgw authors
 */
public final class AffinityPlacement implements Placement {

	/** How far above the mean a server's load may lie, as a factor. */
	private static final double LOAD_BOUND_FACTOR = 1.5;

	private final double slack;

	private final Placement fallback;

	/**
	 * Creates a placement.
	 * @param slack load that a server may always have, in units of its load
	 * @param fallback placement of requests that share nothing
	 */
	public AffinityPlacement(double slack, Placement fallback) {
		this.slack = slack;
		this.fallback = fallback;
	}

	@Override
	public Optional<ServerView> choose(String affinityKey, String failureDomain, List<ServerView> servers) {
		List<ServerView> sound = SuspectFilter.excludeSuspects(servers);
		if (affinityKey.isEmpty()) {
			return this.fallback.choose(affinityKey, failureDomain, sound);
		}
		double mean = sound.stream().mapToDouble(ServerView::load).average().orElse(0);
		double bound = LOAD_BOUND_FACTOR * mean + this.slack;
		return sound.stream()
			.filter((server) -> server.load() <= bound)
			.max(Comparator.comparingLong((server) -> RendezvousHash.score(affinityKey, server.id())));
	}

}
