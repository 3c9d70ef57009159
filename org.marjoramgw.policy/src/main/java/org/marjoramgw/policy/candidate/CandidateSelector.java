package org.marjoramgw.policy.candidate;

import java.util.List;

/**
 * Selects the side processes that get a reservation.
 *
 * @author The marjoramgw authors
 */
public interface CandidateSelector {

	/**
	 * Selects candidates.
	 * @param query the query
	 * @param live the live side processes
	 * @return at most the queried number of candidates, best first, none of them excluded
	 */
	List<Candidate> select(CandidateQuery query, List<Candidate> live);

}
