package org.marjoramgw.policy.candidate;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Bounded subset of a pool that one entry connects to.
 * <p>
 * Half of it lies in the entry's own failure domain where there are enough, the rest
 * anywhere, each half by rendezvous hash, so that a change of the pool changes few
 * connections.
 *
 * @author The marjoramgw authors
 */
public final class Subset {

	private Subset() {
	}

	/**
	 * Chooses the subset.
	 * @param entryId process id of the entry
	 * @param entryDomain failure domain of the entry
	 * @param domainBySideId failure domain of each side process of the pool
	 * @param count greatest size of the subset
	 * @return ids of the chosen side processes
	 */
	public static Set<String> choose(String entryId, String entryDomain, Map<String, String> domainBySideId,
			int count) {
		if (domainBySideId.size() <= count) {
			return Set.copyOf(domainBySideId.keySet());
		}
		List<String> near = new ArrayList<>(domainBySideId.keySet());
		near.removeIf((sideId) -> !domainBySideId.get(sideId).equals(entryDomain));
		Set<String> chosen = new LinkedHashSet<>(RendezvousHash.top(entryId, near, count / 2));
		for (String sideId : RendezvousHash.top(entryId, domainBySideId.keySet(), domainBySideId.size())) {
			if (chosen.size() >= count) {
				break;
			}
			chosen.add(sideId);
		}
		return chosen;
	}

}
