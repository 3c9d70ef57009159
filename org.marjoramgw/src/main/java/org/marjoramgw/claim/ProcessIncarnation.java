package org.marjoramgw.claim;

/**
 * Process that claims keys.
 *
 * @param processId name of the process
 * @param incarnation number that rises with each start of the process
 * @author The marjoramgw authors
 */
public record ProcessIncarnation(String processId, long incarnation) {
}
