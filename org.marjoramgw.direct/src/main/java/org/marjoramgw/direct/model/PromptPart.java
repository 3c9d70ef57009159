package org.marjoramgw.direct.model;

/**
 * Part of a prompt that several requests may have in common.
 *
 * @param id id of the part
 * @param tokenCount size of the part, in tokens
 * @author The marjoramgw authors
 */
public record PromptPart(String id, long tokenCount) {
}
