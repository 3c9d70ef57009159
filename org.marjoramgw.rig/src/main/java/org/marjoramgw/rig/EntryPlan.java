package org.marjoramgw.rig;

/**
 * Entry VM of a deployment.
 *
 * @param name process id, for example {@code entry-1}
 * @param failureDomain its failure domain
 * @author The marjoramgw authors
 */
public record EntryPlan(String name, String failureDomain) {
}
