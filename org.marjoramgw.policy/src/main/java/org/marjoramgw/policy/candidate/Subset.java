package org.marjoramgw.policy.candidate;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Bounded subset of a pool that one entry connects to.
 * <p>
 * The choice goes both ways, each by rendezvous hash: the entry takes half of its subset
 * by its own ranking, from its own failure domain where that has enough, and is joined to
 * the side processes that rank it among their first entries. So each entry has a bounded
 * number of connections, no side process is left with few entries, and a change of either
 * list moves few connections.
 *
 * @author The marjoramgw authors
 */
public final class Subset {

	private static final int RANKING_DIRECTIONS = 2;

	private Subset() {
	}

	/**
	 * Chooses the subset.
	 * @param entryId process id of the entry
	 * @param entryDomain failure domain of the entry
	 * @param entryIds process ids of all entries
	 * @param domainBySideId failure domain of each side process of the pool
	 * @param count wanted size of the subset, met on average
	 * @return ids of the chosen side processes
	 */
	public static Set<String> choose(String entryId, String entryDomain, Collection<String> entryIds,
			Map<String, String> domainBySideId, int count) {
		if (domainBySideId.size() <= count) {
			return Set.copyOf(domainBySideId.keySet());
		}
		Set<String> chosen = new LinkedHashSet<>();
		int ownCount = Math.max(1, count / RANKING_DIRECTIONS);
		addTopRanked(chosen, entryId, entryDomain, domainBySideId, ownCount);
		int entriesPerSide = Math.max(1, (count - ownCount) * entryIds.size() / domainBySideId.size());
		for (String sideId : domainBySideId.keySet()) {
			if (ranksAmongFirst(sideId, entryId, entryIds, entriesPerSide)) {
				chosen.add(sideId);
			}
		}
		return chosen;
	}

	private static void addTopRanked(Set<String> chosen, String entryId, String entryDomain,
			Map<String, String> domainBySideId, int count) {
		List<String> near = new ArrayList<>(domainBySideId.keySet());
		near.removeIf((sideId) -> !domainBySideId.get(sideId).equals(entryDomain));
		chosen.addAll(RendezvousHash.top(entryId, near, count));
		if (chosen.size() < count) {
			chosen.addAll(RendezvousHash.top(entryId, domainBySideId.keySet(), count));
		}
	}

	private static boolean ranksAmongFirst(String sideId, String entryId, Collection<String> entryIds, int count) {
		long score = RendezvousHash.score(sideId, entryId);
		long better = entryIds.stream()
			.filter((other) -> !other.equals(entryId) && RendezvousHash.score(sideId, other) > score)
			.limit(count)
			.count();
		return better < count;
	}

}
