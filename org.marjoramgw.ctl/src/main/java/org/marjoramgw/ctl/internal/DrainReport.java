package org.marjoramgw.ctl.internal;

/**
 * Result of the drain command, written as JSON.
 *
 * @param processId id of the process
 * @param leaving whether the process accepts no new work
 * @author The marjoramgw authors
 */
public record DrainReport(String processId, boolean leaving) {
}
