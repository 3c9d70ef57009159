package org.marjoramgw.policy.candidate;

import java.util.Set;

/**
 * What is asked of a selector.
 *
 * @param failureDomain failure domain of the asking entry
 * @param affinityKey text that requests with a common prompt prefix share, or an empty
 * text
 * @param count how many candidates are wanted
 * @param excluded ids of side processes that were tried already
 * @author The marjoramgw authors
 */
public record CandidateQuery(String failureDomain, String affinityKey, int count, Set<String> excluded) {
}
