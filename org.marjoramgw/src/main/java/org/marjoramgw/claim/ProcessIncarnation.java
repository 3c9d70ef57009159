package org.marjoramgw.claim;

/**
 * Identity of one run of a process, from its start to its end.
 *
 * @param processId name of the process
 * @param incarnation number that increases with each start of the process
 * @author The marjoramgw authors
 */
public record ProcessIncarnation(String processId, long incarnation) {
}
