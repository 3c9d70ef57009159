package org.marjoramgw.policy.candidate;

import java.util.List;
import java.util.Random;

/**
 * Selects the one candidate that reported the least load; a baseline.
 *
 * @author The marjoramgw authors
 */
public final class LeastLoadedSelector implements CandidateSelector {

	private final Random random;

	/**
	 * Creates a selector.
	 * @param random source of randomness, to break ties
	 */
	public LeastLoadedSelector(Random random) {
		this.random = random;
	}

	@Override
	public List<Candidate> select(CandidateQuery query, List<Candidate> live) {
		return Candidates.leastLoaded(Candidates.shuffledEligible(query, live, this.random));
	}

}
