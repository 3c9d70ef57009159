package org.marjoramgw.policy.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;

import org.marjoramgw.policy.candidate.RendezvousHash;

/**
 * Places requests with a common prompt on the same server by rendezvous hashing with
 * bounded loads, so that they find the prompt cached.
 * <p>
 * The key of the prompt ranks the servers, and the first one whose load stays near the
 * mean is chosen. A prompt that many requests share at the same time therefore spreads
 * over as many servers as it needs, always the same ones.
 * <p>
 * Each sender counts only its own requests. Where many senders share a server, each may
 * therefore have but its part of the slots there while it prefers the server.
 *
 * @author The marjoramgw authors
 */
public final class AffinityPlacement implements Placement {

	/** Maximum ratio of a server's load to the mean. */
	private static final double LOAD_BOUND_FACTOR = 1.5;

	/**
	 * Fraction of a server's slots that its preferred prompts may occupy while the other
	 * servers are idle.
	 */
	private static final double SLOT_FRACTION = 0.25;

	private final IntSupplier senderCount;

	private final Placement fallback;

	/**
	 * Creates a placement.
	 * @param senderCount number of processes that place requests on the same servers
	 * @param fallback placement of requests without an affinity key
	 */
	public AffinityPlacement(IntSupplier senderCount, Placement fallback) {
		this.senderCount = senderCount;
		this.fallback = fallback;
	}

	@Override
	public Optional<ServerView> choose(String affinityKey, String failureDomain, List<ServerView> servers) {
		List<ServerView> candidates = SuspectFilter.excludeSuspects(servers);
		if (affinityKey.isEmpty()) {
			return this.fallback.choose(affinityKey, failureDomain, candidates);
		}
		double mean = candidates.stream().mapToDouble(ServerView::load).average().orElse(0);
		double slackPerSlot = SLOT_FRACTION / Math.max(1, this.senderCount.getAsInt());
		return candidates.stream()
			.filter((server) -> server.load() <= LOAD_BOUND_FACTOR * mean + slackPerSlot * server.slotCount())
			.max(Comparator.comparingLong((server) -> RendezvousHash.score(affinityKey, server.id())));
	}

}
