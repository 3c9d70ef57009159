package org.marjoramgw.policy.candidate;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * Helper methods of the selectors.
 *
 * @author The marjoramgw authors
 */
final class Candidates {

	private Candidates() {
	}

	static List<Candidate> shuffledEligible(CandidateQuery query, List<Candidate> live, Random random) {
		List<Candidate> eligible = new ArrayList<>(live);
		eligible.removeIf((candidate) -> query.excluded().contains(candidate.sideId()));
		Collections.shuffle(eligible, random);
		return eligible;
	}

	/**
	 * Selects the least loaded candidate, the first one among equally loaded ones.
	 * @param eligible the candidates to choose from
	 * @return a list of one candidate, or an empty list if there are none
	 */
	static List<Candidate> leastLoaded(List<Candidate> eligible) {
		return eligible.stream().min(Comparator.comparingDouble(Candidate::load)).map(List::of).orElse(List.of());
	}

}
