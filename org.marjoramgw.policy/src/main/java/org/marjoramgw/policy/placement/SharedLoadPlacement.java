package org.marjoramgw.policy.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntUnaryOperator;
import java.util.function.ToDoubleFunction;

import org.marjoramgw.policy.candidate.RendezvousHash;
import org.marjoramgw.policy.fleet.FleetLoad;
import org.marjoramgw.policy.fleet.ServerLoad;
import org.marjoramgw.policy.pace.PaceBook;
import org.marjoramgw.policy.pace.ServerPace;
import org.marjoramgw.policy.pace.ServerRamp;

/**
 * Places a request by the load that all entry processes report.
 * <p>
 * A prompt goes to the first server by rendezvous hash of its shared parts that has a
 * free slot, whatever the load of the others is. Handles bursts of long prompts on cold
 * caches: each move to a less loaded server reads the shared parts again, which delays
 * all requests there and evicts other prompts, so that moves make overload worse. Servers
 * that are new or have failed take part as far as their slow start allows.
 *
 * @author The marjoramgw authors
 */
public final class SharedLoadPlacement implements Placement {

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
	public SharedLoadPlacement(FleetLoad fleet, IntUnaryOperator ownUnreadCount, PaceBook paceBook, ServerRamp ramp,
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
			return Optional.of(betterOfTwo(query, withFreeSlot(candidates(healthy)), Candidate::callCost));
		}
		List<Candidate> candidates = withFreeSlot(candidates(ramped(healthy)));
		if (query.affinityKey().isEmpty()) {
			return Optional.of(betterOfTwo(query, candidates, Candidate::promptCost));
		}
		return candidates.stream()
			.map((candidate) -> candidate.server)
			.max(Comparator.comparingLong((server) -> RendezvousHash.score(query.affinityKey(), server.id())));
	}

	@Override
	public String rule(PlacementQuery query) {
		String eligible = (query.promptTokens() > 0) ? ", among servers with a free slot that their ramp allows"
				: ", among servers with a free slot";
		return ((query.affinityKey().isEmpty() || query.promptTokens() == 0) ? "better of two at random by shared load"
				: "hash of the shared prompt parts") + eligible;
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

	private static List<Candidate> withFreeSlot(List<Candidate> candidates) {
		List<Candidate> free = candidates.stream().filter(Candidate::hasFreeSlot).toList();
		return free.isEmpty() ? candidates : free;
	}

	// Chooses between two random servers. The least loaded of all would get the requests
	// of all processes until their next reports.
	private ServerView betterOfTwo(PlacementQuery query, List<Candidate> candidates, ToDoubleFunction<Candidate> cost) {
		int firstIndex = this.random.nextInt(candidates.size());
		Candidate first = candidates.get(firstIndex);
		if (candidates.size() == 1) {
			return first.server;
		}
		int offset = 1 + this.random.nextInt(candidates.size() - 1);
		Candidate second = candidates.get((firstIndex + offset) % candidates.size());
		int order = Double.compare(cost.applyAsDouble(first), cost.applyAsDouble(second));
		boolean firstPreferred = first.server.failureDomain().equals(query.failureDomain())
				|| !second.server.failureDomain().equals(query.failureDomain());
		return (order < 0 || order == 0 && firstPreferred) ? first.server : second.server;
	}

	/**
	 * A server and what is known of it.
	 *
	 * @param server the server
	 * @param load its load by all processes
	 * @param pace its pace
	 */
	private record Candidate(ServerView server, ServerLoad load, ServerPace pace) {

		private boolean hasFreeSlot() {
			return this.load.requestCount() < this.server.slotCount();
		}

		private double callCost() {
			return (this.load.requestCount() + 1) / this.pace.presentTokensPerMilli();
		}

		private double promptCost() {
			return (this.load.unreadTokens() + 1) / this.pace.presentTokensPerMilli();
		}

	}

}
