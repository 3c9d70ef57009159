package org.marjoramgw.policy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntUnaryOperator;

import org.marjoramgw.policy.candidate.RendezvousHash;
import org.marjoramgw.policy.fleet.FleetLoad;
import org.marjoramgw.policy.fleet.ServerLoad;
import org.marjoramgw.policy.fleet.SharedPart;
import org.marjoramgw.policy.pace.PaceBook;
import org.marjoramgw.policy.pace.ServerPace;
import org.marjoramgw.policy.pace.ServerRamp;

/**
 * Places a request by the load that all entry processes report.
 * <p>
 * Prompts with a common part have two servers by rendezvous hash, weighted by their pace,
 * and the second one is chosen if the first token is expected earlier there, with the
 * time to read the common part again. A burst of one prompt, or one slow server, thus
 * loads two servers, and the rest of the caches stays as it is.
 *
 * @author The marjoramgw authors
 */
public final class ExpectedTimePlacement implements Placement {

	/** Cost above the least one up to which servers count as equal, in targets. */
	private static final double TOLERANCE_TARGETS = 0.1;

	/** Target that is assumed if there is none, in milliseconds. */
	private static final double DEFAULT_TARGET_MILLIS = 1_000;

	/**
	 * Number of servers among which prompts with a common part are placed. Each of them
	 * reads that part once, and all entry processes choose the same ones, so that a
	 * server with little load doesn't get the prompts of all processes until their next
	 * reports.
	 */
	private static final int HOME_COUNT = 2;

	/**
	 * Weight of shared prompt tokens that the server has to read although another one may
	 * have them in its cache. They delay the other requests that wait at the server as
	 * much as the request itself.
	 */
	private static final double UNCACHED_WEIGHT = 4;

	/**
	 * Fraction by which each running stream makes a server read prompts more slowly. A
	 * server reads some 2,000 tokens in 40 ms between two steps of its streams, and a
	 * step takes some 0.12 ms for each of them.
	 */
	private static final double RUNNING_WEIGHT = 0.003;

	/**
	 * Fraction of a server's memory that is used. Reports are some hundred milliseconds
	 * old, and beyond its memory a server preempts requests and reads them again.
	 */
	private static final double MEMORY_FRACTION = 0.9;

	/** Cost of each request above the slots of a server, in targets. */
	private static final double FULL_SLOT_TARGETS = 0.25;

	/** Logarithm of the ratio of paces that the hash distinguishes. */
	private static final double PACE_STEP = Math.log(1.25);

	/** Bits of a hash that a double represents. */
	private static final int MANTISSA_BITS = 53;

	private final FleetLoad fleet;

	private final IntUnaryOperator ownUnreadCount;

	private final PaceBook paceBook;

	private final ServerRamp ramp;

	private final Random random;

	/**
	 * Creates a placement.
	 * @param fleet load of the servers
	 * @param ownUnreadCount returns the number of prompts of this process at a server
	 * whose first token is outstanding, by the key of the server
	 * @param paceBook paces of the servers
	 * @param ramp slow start of the servers
	 * @param random source of randomness for requests without a shared prompt
	 */
	public ExpectedTimePlacement(FleetLoad fleet, IntUnaryOperator ownUnreadCount, PaceBook paceBook, ServerRamp ramp,
			Random random) {
		this.fleet = fleet;
		this.ownUnreadCount = ownUnreadCount;
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
		List<ServerView> healthy = SuspectFilter.excludeSuspects(servers);
		if (healthy.isEmpty()) {
			return Optional.empty();
		}
		if (query.promptTokens() == 0) {
			return Optional.of(choosePlain(query, candidates(healthy)));
		}
		return Optional.of(choosePrompted(query, candidates(ramped(healthy))));
	}

	// While the ramps exclude more than half of the servers, the others couldn't take
	// their load, and none is excluded.
	private List<ServerView> ramped(List<ServerView> servers) {
		if (this.ramp.rampingCount() == 0) {
			return servers;
		}
		List<ServerView> eligible = servers.stream()
			.filter((server) -> this.ramp.mayReceive(server.serverKey(),
					this.ownUnreadCount.applyAsInt(server.serverKey())))
			.toList();
		return (2 * eligible.size() < servers.size()) ? servers : eligible;
	}

	private List<Candidate> candidates(List<ServerView> servers) {
		List<ServerPace> paces = this.paceBook.paces(servers.stream().mapToInt(ServerView::serverKey).toArray());
		List<Candidate> candidates = new ArrayList<>(servers.size());
		for (int index = 0; index < servers.size(); index++) {
			ServerView server = servers.get(index);
			candidates.add(new Candidate(server, this.fleet.load(server.serverKey()), paces.get(index)));
		}
		return candidates;
	}

	// Chooses between two random servers. The least loaded of all would get the requests
	// of all processes until their next reports.
	private ServerView choosePlain(PlacementQuery query, List<Candidate> all) {
		List<Candidate> free = all.stream().filter(Candidate::hasFreeSlot).toList();
		List<Candidate> candidates = free.isEmpty() ? all : free;
		int firstIndex = this.random.nextInt(candidates.size());
		Candidate first = candidates.get(firstIndex);
		if (candidates.size() == 1) {
			return first.server;
		}
		int offset = 1 + this.random.nextInt(candidates.size() - 1);
		Candidate second = candidates.get((firstIndex + offset) % candidates.size());
		int order = Double.compare(first.plainCost(), second.plainCost());
		boolean firstPreferred = first.server.failureDomain().equals(query.failureDomain())
				|| !second.server.failureDomain().equals(query.failureDomain());
		return (order < 0 || order == 0 && firstPreferred) ? first.server : second.server;
	}

	private ServerView choosePrompted(PlacementQuery query, List<Candidate> all) {
		List<Candidate> free = all.stream().filter(Candidate::hasFreeSlot).toList();
		List<Candidate> candidates = free.isEmpty() ? all : free;
		if (!query.affinityKey().isEmpty()) {
			candidates = homes(query.affinityKey(), candidates);
		}
		double target = (query.targetMillis() > 0) ? query.targetMillis() : DEFAULT_TARGET_MILLIS;
		Candidate best = candidates.get(0);
		for (Candidate candidate : candidates) {
			candidate.cost = expectedMillis(query, candidate) + excessMillis(query, candidate, target);
			if (candidate.cost < best.cost - TOLERANCE_TARGETS * target) {
				best = candidate;
			}
		}
		return best.server;
	}

	private static List<Candidate> homes(String key, List<Candidate> candidates) {
		return candidates.stream()
			.sorted(Comparator.comparingDouble((Candidate candidate) -> candidate.score(key)).reversed())
			.limit(HOME_COUNT)
			.toList();
	}

	private double expectedMillis(PlacementQuery query, Candidate candidate) {
		int serverKey = candidate.server.serverKey();
		long cached = 0;
		long shared = 0;
		for (SharedPart part : query.sharedParts()) {
			if (cached == shared && this.fleet.isCached(part.partKey(), serverKey)) {
				cached += part.tokenCount();
			}
			shared += part.tokenCount();
		}
		double own = Math.max(0, query.promptTokens() - shared);
		return (candidate.load.unreadTokens() + own + UNCACHED_WEIGHT * (shared - cached))
				* (1 + RUNNING_WEIGHT * candidate.load.requestCount()) / candidate.pace.presentTokensPerMilli();
	}

	private static double excessMillis(PlacementQuery query, Candidate candidate, double target) {
		double excessTokens = candidate.load.memoryTokens() + query.promptTokens()
				- MEMORY_FRACTION * candidate.server.memoryTokens();
		double excessRequests = candidate.load.requestCount() + 1 - candidate.server.slotCount();
		double memoryMillis = (excessTokens > 0) ? target + excessTokens / candidate.pace.presentTokensPerMilli() : 0;
		return memoryMillis + FULL_SLOT_TARGETS * target * Math.max(0, excessRequests);
	}

	/** A server and what is known of it. */
	private static final class Candidate {

		private final ServerView server;

		private final ServerLoad load;

		private final ServerPace pace;

		private double cost;

		private Candidate(ServerView server, ServerLoad load, ServerPace pace) {
			this.server = server;
			this.load = load;
			this.pace = pace;
		}

		private boolean hasFreeSlot() {
			return this.load.requestCount() < this.server.slotCount();
		}

		private double plainCost() {
			return (this.load.requestCount() + 1) / this.pace.presentTokensPerMilli();
		}

		// Weighted rendezvous hashing. The pace is rounded, because the estimates of the
		// processes differ a little.
		private double score(String key) {
			long hash = RendezvousHash.score(key, this.server.id());
			double uniform = ((hash >>> (Long.SIZE - MANTISSA_BITS)) + 0.5) / (1L << MANTISSA_BITS);
			double weight = Math.exp(PACE_STEP * Math.round(Math.log(this.pace.steadyTokensPerMilli()) / PACE_STEP));
			return weight / -Math.log(uniform);
		}

	}

}
