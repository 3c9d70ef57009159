package org.marjoramgw.policy.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.marjoramgw.MillisClock;
import org.marjoramgw.policy.candidate.RendezvousHash;

/**
 * The server where a prompt is read soonest: its wait, and the time to read the shared
 * part again where it is not cached.
 * <p>
 * All senders expect a shared part at the first server of its ranking by rendezvous hash;
 * each also knows where it sent the part itself. Long shared parts so stay where they are
 * cached until the wait there costs more than reading them elsewhere, and short ones go
 * wherever the wait is least; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class PromptPlacement implements Placement {

	/** Shared parts whose places are remembered. */
	private static final int MAX_KEYS = 4_096;

	private final MillisClock clock;

	private final double tokensPerMilli;

	private final long cachedMillis;

	private final Map<String, Map<String, Long>> usesByKey = new LinkedHashMap<>(16, 0.75f, true) {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Map<String, Long>> eldest) {
			return size() > MAX_KEYS;
		}

	};

	/**
	 * Creates a placement.
	 * @param clock monotonic clock
	 * @param tokensPerMilli prompt tokens that a server reads in a millisecond
	 * @param cachedMillis how long a part is expected to stay cached, in milliseconds
	 */
	public PromptPlacement(MillisClock clock, double tokensPerMilli, long cachedMillis) {
		this.clock = clock;
		this.tokensPerMilli = tokensPerMilli;
		this.cachedMillis = cachedMillis;
	}

	@Override
	public synchronized Optional<ServerView> choose(PlacementQuery query, List<ServerView> servers) {
		List<ServerView> sound = Suspects.without(servers);
		String home = sound.stream()
			.map(ServerView::id)
			.max(Comparator.comparingLong((id) -> RendezvousHash.score(query.sharedKey(), id)))
			.orElse("");
		Map<String, Long> uses = this.usesByKey.computeIfAbsent(query.sharedKey(), (key) -> new HashMap<>());
		double missMillis = query.sharedTokenCount() / this.tokensPerMilli;
		Optional<ServerView> best = sound.stream()
			.min(Comparator
				.comparingDouble(
						(ServerView server) -> server.load() + (isCached(server.id(), home, uses) ? 0 : missMillis))
				.thenComparing((server) -> !server.id().equals(home))
				.thenComparing((server) -> !server.failureDomain().equals(query.failureDomain())));
		best.ifPresent((server) -> uses.put(server.id(), this.clock.nowMillis()));
		return best;
	}

	private boolean isCached(String id, String home, Map<String, Long> uses) {
		Long usedMillis = uses.get(id);
		return id.equals(home) || usedMillis != null && this.clock.nowMillis() - usedMillis < this.cachedMillis;
	}

}
