package org.marjoramgw.policy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.marjoramgw.policy.candidate.RendezvousHash;
import org.marjoramgw.policy.fleet.FleetBook;
import org.marjoramgw.policy.fleet.FleetLoad;
import org.marjoramgw.policy.fleet.ServerLoad;
import org.marjoramgw.policy.pace.PaceBook;
import org.marjoramgw.policy.pace.ServerPace;
import org.marjoramgw.policy.pace.ServerRamp;

/**
 * Places a request by the load that all entry processes report.
 * <p>
 * Answers bursts of long prompts on cold caches, and servers of unequal pace. A prompt
 * with long shared parts goes to one of two servers by weighted rendezvous hash, and
 * stays where it is cached: each move prefills the shared parts again, which delays all
 * requests there and evicts other prompts. Other prompts go where little is to be
 * prefilled and few streams run. Streams with short pauses leave out servers that are too
 * slow for them, and servers that are new or have failed take part as far as their slow
 * start allows.
 *
 * @author The marjoramgw authors
 */
public final class SharedLoadPlacement implements Placement {

	/** Ratio of a pause in which prompts are prefilled to one without. */
	private static final double PREFILL_PAUSE_FACTOR = 5;

	/**
	 * Least fraction of the servers that must be fast enough for a request, so that these
	 * can take its kind of request.
	 */
	private static final double MIN_FAST_FRACTION = 0.3;

	/**
	 * Random servers of which a prompt without long shared parts goes to the least
	 * loaded.
	 */
	private static final int SAMPLE_COUNT = 4;

	/**
	 * Prompt tokens whose prefill delays the others on a server about as much as one
	 * running stream does.
	 */
	private static final double STREAM_TOKENS = 1_000;

	private static final double TWO_POW_MINUS_64 = 0x1p-64;

	private final FleetLoad fleet;

	private final PaceBook paceBook;

	private final ServerRamp ramp;

	private final Placement callPlacement;

	private final Random random;

	/**
	 * Creates a placement.
	 * @param fleet load of the servers
	 * @param paceBook paces of the servers
	 * @param ramp slow start of the servers
	 * @param callPlacement placement of requests without a prompt
	 * @param random source of randomness for requests without a shared prompt
	 */
	public SharedLoadPlacement(FleetLoad fleet, PaceBook paceBook, ServerRamp ramp, Placement callPlacement,
			Random random) {
		this.callPlacement = callPlacement;
		this.fleet = fleet;
		this.paceBook = paceBook;
		this.ramp = ramp;
		this.random = random;
	}

	@Override
	public void onUsable(PlacementQuery query, List<ServerView> servers) {
		if (query.promptTokens() > 0) {
			servers.forEach((server) -> this.ramp.onUsable(query.service(), server.serverKey(), server.id()));
		}
	}

	@Override
	public Optional<ServerView> choose(PlacementQuery query, List<ServerView> servers) {
		if (query.promptTokens() == 0) {
			return this.callPlacement.choose(query, servers);
		}
		List<ServerView> healthy = SuspectFilter.excludeSuspects(servers);
		if (healthy.isEmpty()) {
			return Optional.empty();
		}
		List<Candidate> candidates = withFreeSlot(withShortPauses(candidates(healthy), query.maxPauseMillis()));
		if (query.sharedTokens() < FleetBook.MIN_SHARED_TOKENS) {
			return Optional.of(bestOfSample(candidates).server);
		}
		List<Candidate> preferred = candidates.stream()
			.sorted(Comparator.comparingDouble((Candidate candidate) -> candidate.score(query.affinityKey()))
				.reversed())
			.limit(2)
			.toList();
		return Optional.of(preferredServer(query, preferred).server);
	}

	@Override
	public String rule(PlacementQuery query) {
		if (query.promptTokens() == 0) {
			return this.callPlacement.rule(query);
		}
		String rule = (query.sharedTokens() < FleetBook.MIN_SHARED_TOKENS)
				? "least prefill and streams for its pace of " + SAMPLE_COUNT + " at random"
				: "where the shared prompt parts are cached, of two by weighted hash";
		return rule + ", among servers with a free slot and short enough pauses";
	}

	// Two servers may get a prompt, and the one that got it first keeps it while it is
	// cached. So the shared parts are prefilled once, and the servers have about the same
	// number of them.
	private Candidate preferredServer(PlacementQuery query, List<Candidate> preferred) {
		Candidate first = preferred.get(0);
		if (preferred.size() < 2) {
			return first;
		}
		Candidate second = preferred.get(1);
		boolean firstCached = this.fleet.isCached(query.sharedPartKey(), first.server.serverKey());
		boolean secondCached = this.fleet.isCached(query.sharedPartKey(), second.server.serverKey());
		if (firstCached != secondCached) {
			return firstCached ? first : second;
		}
		if (firstCached) {
			return (first.cost() <= second.cost()) ? first : second;
		}
		return (cachedShare(first) <= cachedShare(second)) ? first : second;
	}

	private double cachedShare(Candidate candidate) {
		return (this.fleet.cachedCount(candidate.server.serverKey()) + 1) / candidate.weight();
	}

	private List<Candidate> candidates(List<ServerView> servers) {
		List<ServerPace> paces = this.paceBook.paces(servers.stream().mapToInt(ServerView::serverKey).toArray());
		List<Candidate> candidates = new ArrayList<>(servers.size());
		for (int index = 0; index < servers.size(); index++) {
			ServerView server = servers.get(index);
			candidates.add(new Candidate(server, this.fleet.load(server.serverKey()), paces.get(index),
					this.ramp.share(server.serverKey())));
		}
		return candidates;
	}

	private static List<Candidate> withShortPauses(List<Candidate> candidates, long maxPauseMillis) {
		List<Candidate> fast = candidates.stream().filter((candidate) -> candidate.meetsPause(maxPauseMillis)).toList();
		return (MIN_FAST_FRACTION * candidates.size() > fast.size()) ? candidates : fast;
	}

	private static List<Candidate> withFreeSlot(List<Candidate> candidates) {
		List<Candidate> free = candidates.stream().filter(Candidate::hasFreeSlot).toList();
		return free.isEmpty() ? candidates : free;
	}

	// Chooses among a few random servers. The least loaded of all would get the requests
	// of all processes until their next reports.
	private Candidate bestOfSample(List<Candidate> candidates) {
		Candidate best = candidates.get(this.random.nextInt(candidates.size()));
		for (int drawn = 1; drawn < SAMPLE_COUNT; drawn++) {
			Candidate next = candidates.get(this.random.nextInt(candidates.size()));
			best = (next.cost() < best.cost()) ? next : best;
		}
		return best;
	}

	/**
	 * A server and what is known of it.
	 *
	 * @param server the server
	 * @param load its load by all processes
	 * @param pace its pace
	 * @param rampShare share of the prompts that its slow start allows
	 */
	private record Candidate(ServerView server, ServerLoad load, ServerPace pace, double rampShare) {

		private double weight() {
			return this.pace.weight() * this.rampShare;
		}

		private boolean hasFreeSlot() {
			return this.load.requestCount() < this.server.slotCount();
		}

		private boolean meetsPause(long maxPauseMillis) {
			return !this.pace.isSlow() || this.pace.pauseMillis() * PREFILL_PAUSE_FACTOR <= maxPauseMillis;
		}

		private double cost() {
			return (this.load.unreadTokens() + STREAM_TOKENS * this.load.requestCount() + 1)
					/ (this.pace.eventsPerSecond() * this.rampShare);
		}

		// Weighted rendezvous hashing: with equal weights the server with the highest
		// hash, otherwise each server gets its share of the keys.
		private double score(String key) {
			double uniform = (RendezvousHash.score(key, this.server.id()) * TWO_POW_MINUS_64) + 0.5;
			return Math.log(Math.max(Double.MIN_NORMAL, uniform)) / weight();
		}

	}

}
