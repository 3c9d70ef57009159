package org.marjoramgw.policy.candidate;

import java.util.List;
import java.util.Random;

/**
 * Selects one candidate at random; a baseline.
 *
 * @author The marjoramgw authors
 */
public final class RandomSelector implements CandidateSelector {

	private final Random random;

	/**
	 * Creates a selector.
	 * @param random source of randomness
	 */
	public RandomSelector(Random random) {
		this.random = random;
	}

	@Override
	public List<Candidate> select(CandidateQuery query, List<Candidate> live) {
		List<Candidate> eligible = Candidates.shuffledEligible(query, live, this.random);
		return eligible.subList(0, Math.min(1, eligible.size()));
	}

}
