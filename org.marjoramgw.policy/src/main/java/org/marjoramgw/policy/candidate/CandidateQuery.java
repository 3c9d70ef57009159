package org.marjoramgw.policy.candidate;

import java.util.Set;

/**
 * Query to a selector.
 *
 * @param failureDomain failure domain of the entry
 * @param affinityKey key that requests with a common prompt prefix share, or an empty
 * string
 * @param count maximum number of candidates
 * @param excluded ids of the side processes that were tried before
 * @author The marjoramgw authors
 */
public record CandidateQuery(String failureDomain, String affinityKey, int count, Set<String> excluded) {
}
