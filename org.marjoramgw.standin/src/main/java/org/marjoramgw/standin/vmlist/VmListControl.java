package org.marjoramgw.standin.vmlist;

/**
 * Faults of a VM list stand-in; a {@code null} leaves a fault unchanged.
 *
 * @param outage whether every read gets status 503
 * @param lagMs delay until a change is visible to readers, in milliseconds
 * @author The marjoramgw authors
 */
public record VmListControl(Boolean outage, Long lagMs) {
}
