package org.marjoramgw.policy.placement;

/**
 * What a choice of server is for.
 *
 * @param failureDomain failure domain of the sender
 * @param sharedKey name of the prompt that other requests share, or an empty text
 * @param sharedTokenCount size of that prompt, in tokens
 * @author The marjoramgw authors
 */
public record PlacementQuery(String failureDomain, String sharedKey, long sharedTokenCount) {
}
