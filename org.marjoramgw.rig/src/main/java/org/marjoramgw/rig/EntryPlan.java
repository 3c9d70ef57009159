package org.marjoramgw.rig;

/**
 * Entry VM of a deployment.
 *
 * @param name process id, for example {@code entry-1}
 * @param failureDomain failure domain of the VM
 * @author The marjoramgw authors
 */
public record EntryPlan(String name, String failureDomain) {
}
