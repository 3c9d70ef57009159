package org.marjoramgw.policy.candidate;

import java.util.List;
import java.util.Random;

/**
 * Selects the less loaded of two random candidates; a baseline.
 *
 * @author The marjoramgw authors
 */
public final class PowerOfTwoSelector implements CandidateSelector {

	private static final int CHOICES = 2;

	private final Random random;

	/**
	 * Creates a selector.
	 * @param random source of randomness
	 */
	public PowerOfTwoSelector(Random random) {
		this.random = random;
	}

	@Override
	public List<Candidate> select(CandidateQuery query, List<Candidate> live) {
		List<Candidate> eligible = Candidates.shuffledEligible(query, live, this.random);
		return Candidates.leastLoaded(eligible.subList(0, Math.min(CHOICES, eligible.size())));
	}

}
