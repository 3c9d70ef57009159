package org.marjoramgw.policy.candidate;

import java.util.List;
import java.util.Random;

/**
 * Baseline: one candidate at random.
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
		List<Candidate> open = Candidates.shuffledEligible(query, live, this.random);
		return open.subList(0, Math.min(1, open.size()));
	}

}
