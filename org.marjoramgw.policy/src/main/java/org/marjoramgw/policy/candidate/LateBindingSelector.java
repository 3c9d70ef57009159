package org.marjoramgw.policy.candidate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Several candidates for one request, which binds to the first that grants a slot.
 * <p>
 * The first candidate is the one that the prompt's prefix hashes to, so that cached
 * prefixes are met again, unless it is overloaded. The others are the least loaded, those
 * of the entry's own failure domain first among equals.
 *
 * @author The marjoramgw authors
 */
public final class LateBindingSelector implements CandidateSelector {

	private static final double MAX_AFFINITY_LOAD = 1.0;

	private final Random random;

	/**
	 * Creates a selector.
	 * @param random source of randomness, for ties
	 */
	public LateBindingSelector(Random random) {
		this.random = random;
	}

	@Override
	public List<Candidate> select(CandidateQuery query, List<Candidate> live) {
		List<Candidate> open = Candidates.shuffledEligible(query, live, this.random);
		open.sort(Comparator.comparingDouble(Candidate::load)
			.thenComparing((candidate) -> !candidate.failureDomain().equals(query.failureDomain())));
		preferAffinity(query, open);
		return List.copyOf(open.subList(0, Math.min(query.count(), open.size())));
	}

	private static void preferAffinity(CandidateQuery query, List<Candidate> open) {
		if (query.affinityKey().isEmpty() || open.isEmpty()) {
			return;
		}
		Candidate preferred = open.stream()
			.max(Comparator.comparingLong((candidate) -> RendezvousHash.score(query.affinityKey(), candidate.sideId())))
			.orElseThrow();
		if (preferred.load() < MAX_AFFINITY_LOAD) {
			List<Candidate> rest = new ArrayList<>(open);
			rest.remove(preferred);
			open.clear();
			open.add(preferred);
			open.addAll(rest);
		}
	}

}
