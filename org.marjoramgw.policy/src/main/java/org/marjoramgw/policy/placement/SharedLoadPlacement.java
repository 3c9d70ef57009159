package org.marjoramgw.policy.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.marjoramgw.policy.fleet.FleetLoad;
import org.marjoramgw.policy.pace.PaceBook;
import org.marjoramgw.policy.pace.ServerPace;
import org.marjoramgw.policy.pace.ServerRamp;

/**
 * Places a request by what all entry processes know of the servers.
 * <p>
 * Answers bursts of long prompts on servers of unequal pace. As in
 * {@link AffinityPlacement}, prompts with common parts meet at one server, but a slow
 * server gets fewer of them, streams with short pauses leave out servers that are too
 * slow for them, and servers that are new or have failed take part as far as their slow
 * start allows. Processes that know the same figures choose the same server.
 *
 * @author The marjoramgw authors
 */
public final class SharedLoadPlacement implements Placement {

	/**
	 * Least fraction of the servers that must be fast enough for a request, so that these
	 * can take its kind of request.
	 */
	private static final double MIN_FAST_FRACTION = 0.3;

	/**
	 * Slots from which on reports tell which servers have a free one. Servers with fewer
	 * are full most of the time in a burst; all processes would move their prompts to the
	 * few that seemed free half a second ago, which prefill them again.
	 */
	private static final int MIN_SLOT_COUNT = 32;

	private final FleetLoad fleet;

	private final PaceBook paceBook;

	private final ServerRamp ramp;

	private final AffinityPlacement ownLoad;

	/**
	 * Creates a placement.
	 * @param fleet load of the servers
	 * @param paceBook paces of the servers
	 * @param ramp slow start of the servers
	 * @param ownLoad placement by the load of this process, which chooses among the
	 * servers that remain
	 */
	public SharedLoadPlacement(FleetLoad fleet, PaceBook paceBook, ServerRamp ramp, AffinityPlacement ownLoad) {
		this.fleet = fleet;
		this.paceBook = paceBook;
		this.ramp = ramp;
		this.ownLoad = ownLoad;
	}

	@Override
	public void onUsable(PlacementQuery query, List<ServerView> servers) {
		// Slow start has no effect where servers have few slots; none is recorded there.
		if (query.promptTokens() > 0 && !haveFewSlots(servers)) {
			servers.forEach((server) -> this.ramp.onUsable(query.service(), server.serverKey(), server.id()));
		}
	}

	@Override
	public Optional<ServerView> choose(PlacementQuery query, List<ServerView> servers) {
		if (usesOwnLoad(query, servers)) {
			return this.ownLoad.choose(query, servers);
		}
		List<Candidate> candidates = candidates(SuspectFilter.excludeSuspects(servers));
		return this.ownLoad.chooseWeighted(query.affinityKey(),
				withFreeSlot(withShortPauses(candidates, query.maxPauseMillis())).stream()
					.map(Candidate::weighted)
					.toList());
	}

	@Override
	public String rule(PlacementQuery query, List<ServerView> servers) {
		return usesOwnLoad(query, servers) ? this.ownLoad.rule(query, servers)
				: "weighted hash of the shared prompt parts, among servers with a free slot and short enough pauses";
	}

	private static boolean usesOwnLoad(PlacementQuery query, List<ServerView> servers) {
		return query.affinityKey().isEmpty() || haveFewSlots(servers);
	}

	private static boolean haveFewSlots(List<ServerView> servers) {
		return servers.stream().anyMatch((server) -> server.slotCount() < MIN_SLOT_COUNT);
	}

	private List<Candidate> candidates(List<ServerView> servers) {
		List<ServerPace> paces = this.paceBook.paces(servers.stream().mapToInt(ServerView::serverKey).toArray());
		List<Candidate> candidates = new ArrayList<>(servers.size());
		for (int index = 0; index < servers.size(); index++) {
			ServerView server = servers.get(index);
			boolean hasFreeSlot = this.fleet.load(server.serverKey()).requestCount() < server.slotCount();
			candidates.add(new Candidate(server, hasFreeSlot, paces.get(index), this.ramp.share(server.serverKey())));
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

	/**
	 * A server and what is known of it.
	 *
	 * @param server the server
	 * @param hasFreeSlot whether it has a free slot by the requests of all processes
	 * @param pace its pace
	 * @param rampShare share of the prompts that its slow start allows
	 */
	private record Candidate(ServerView server, boolean hasFreeSlot, ServerPace pace, double rampShare) {

		private WeightedServer weighted() {
			return new WeightedServer(this.server, this.pace.weight() * this.rampShare);
		}

		private boolean meetsPause(long maxPauseMillis) {
			return !this.pace.isSlow() || this.pace.longPauseMillis() <= maxPauseMillis;
		}

	}

}
