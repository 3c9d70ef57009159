package org.marjoramgw.policy.candidate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Selects several candidates for one request, which binds to the first that grants a
 * slot.
 * <p>
 * The first candidate is the one that the prompt prefix hashes to, so that the request
 * finds the prefix cached, unless that candidate is overloaded. The others are the least
 * loaded; among equally loaded ones, those in the failure domain of the entry come first.
 *
 * @author The marjoramgw authors
 */
public final class LateBindingSelector implements CandidateSelector {

	private static final double MAX_AFFINITY_LOAD = 1.0;

	private final Random random;

	/**
	 * Creates a selector.
	 * @param random source of randomness, to break ties
	 */
	public LateBindingSelector(Random random) {
		this.random = random;
	}

	@Override
	public List<Candidate> select(CandidateQuery query, List<Candidate> live) {
		List<Candidate> eligible = Candidates.shuffledEligible(query, live, this.random);
		eligible.sort(Comparator.comparingDouble(Candidate::load)
			.thenComparing((candidate) -> !candidate.failureDomain().equals(query.failureDomain())));
		preferAffinity(query, eligible);
		return List.copyOf(eligible.subList(0, Math.min(query.count(), eligible.size())));
	}

	private static void preferAffinity(CandidateQuery query, List<Candidate> eligible) {
		if (query.affinityKey().isEmpty() || eligible.isEmpty()) {
			return;
		}
		Candidate preferred = eligible.stream()
			.max(Comparator.comparingLong((candidate) -> RendezvousHash.score(query.affinityKey(), candidate.sideId())))
			.orElseThrow();
		if (preferred.load() < MAX_AFFINITY_LOAD) {
			List<Candidate> rest = new ArrayList<>(eligible);
			rest.remove(preferred);
			eligible.clear();
			eligible.add(preferred);
			eligible.addAll(rest);
		}
	}

}
