package org.marjoramgw.policy.candidate;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Bounded subset of a pool of side processes that one entry connects to.
 * <p>
 * Entries and side processes rank each other by rendezvous hashing. The entry takes half
 * of its subset from the top of its own ranking, in its own failure domain if that has
 * enough side processes, and adds the side processes that rank it among their first
 * entries. Thus each entry has a bounded number of connections, no side process is left
 * with few entries, and a change of either list moves few connections.
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
	 * @param count size of the subset, met on average
	 * @return process ids of the chosen side processes
	 */
	public static Set<String> choose(String entryId, String entryDomain, Collection<String> entryIds,
			Map<String, String> domainBySideId, int count) {
		if (domainBySideId.size() <= count) {
			return Set.copyOf(domainBySideId.keySet());
		}
		Set<String> chosen = new LinkedHashSet<>();
		int topRankedCount = Math.max(1, count / RANKING_DIRECTIONS);
		addTopRanked(chosen, entryId, entryDomain, domainBySideId, topRankedCount);
		int entriesPerSide = Math.max(1, (count - topRankedCount) * entryIds.size() / domainBySideId.size());
		for (String sideId : domainBySideId.keySet()) {
			if (ranksAmongFirst(sideId, entryId, entryIds, entriesPerSide)) {
				chosen.add(sideId);
			}
		}
		return chosen;
	}

	private static void addTopRanked(Set<String> chosen, String entryId, String entryDomain,
			Map<String, String> domainBySideId, int count) {
		List<String> sameDomain = new ArrayList<>(domainBySideId.keySet());
		sameDomain.removeIf((sideId) -> !domainBySideId.get(sideId).equals(entryDomain));
		chosen.addAll(RendezvousHash.top(entryId, sameDomain, count));
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
