package org.marjoramgw.policy.fleet;

/**
 * Shared part of a prompt.
 *
 * @param partKey key of the part and of those before it, see {@link FleetKeys#partKey}
 * @param tokenCount tokens of the part
 * @author The marjoramgw authors
 */
public record SharedPart(int partKey, int tokenCount) {
}
