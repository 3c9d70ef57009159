package org.marjoramgw.standin.vmlist;

/**
 * Faults of a VM list stand-in; a {@code null} leaves a fault as it is.
 *
 * @param outage whether every read gets 503
 * @param lagMs how far readers are behind the truth, in milliseconds
 * @author The marjoramgw authors
 */
public record VmListControl(Boolean outage, Long lagMs) {
}
