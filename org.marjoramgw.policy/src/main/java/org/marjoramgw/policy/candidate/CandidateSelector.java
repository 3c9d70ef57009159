package org.marjoramgw.policy.candidate;

import java.util.List;

/**
 * Choice of the side processes that get a reservation.
 *
 * @author The marjoramgw authors
 */
public interface CandidateSelector {

	/**
	 * Selects candidates.
	 * @param query what is asked
	 * @param live the live side processes
	 * @return at most the wanted number of candidates, best first, none of them excluded
	 */
	List<Candidate> select(CandidateQuery query, List<Candidate> live);

}
