package org.marjoramgw.ctl.internal;

/**
 * Result of a drain, for programs.
 *
 * @param processId the process
 * @param leaving whether it takes no new work
 * @author The marjoramgw authors
 */
public record DrainReport(String processId, boolean leaving) {
}
