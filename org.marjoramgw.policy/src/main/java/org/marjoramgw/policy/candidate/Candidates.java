package org.marjoramgw.policy.candidate;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Steps that the selectors share.
 *
 * @author The marjoramgw authors
 */
final class Candidates {

	private Candidates() {
	}

	static List<Candidate> shuffledEligible(CandidateQuery query, List<Candidate> live, Random random) {
		List<Candidate> open = new ArrayList<>(live);
		open.removeIf((candidate) -> query.excluded().contains(candidate.sideId()));
		Collections.shuffle(open, random);
		return open;
	}

}
