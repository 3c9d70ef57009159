package org.marjoramgw.policy.candidate;

import java.util.Comparator;
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
		return Candidates.shuffledEligible(query, live, this.random)
			.stream()
			.limit(CHOICES)
			.min(Comparator.comparingDouble(Candidate::load))
			.map(List::of)
			.orElse(List.of());
	}

}
