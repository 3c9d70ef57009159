package org.marjoramgw.direct.duty;

/**
 * Process that takes part in the duties.
 *
 * @param process id of the process
 * @param incarnation its start, in milliseconds since the Unix epoch
 * @param failureDomain its failure domain
 * @author The marjoramgw authors
 */
public record DutyMember(String process, long incarnation, String failureDomain) {
}
