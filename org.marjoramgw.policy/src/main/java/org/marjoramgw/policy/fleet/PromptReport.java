package org.marjoramgw.policy.fleet;

/**
 * Report that a shared part of a prompt was sent to a backend server, which keeps it in
 * its cache from now on.
 *
 * @param partKey key of the part and of those before it, see {@link FleetKeys#partKey}
 * @param serverKey key of the server, see {@link FleetKeys#serverKey}
 * @param tokenCount tokens of the part
 * @author The marjoramgw authors
 */
public record PromptReport(int partKey, int serverKey, int tokenCount) {
}
