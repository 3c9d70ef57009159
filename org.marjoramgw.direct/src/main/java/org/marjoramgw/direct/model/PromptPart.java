package org.marjoramgw.direct.model;

/**
 * Part of a prompt that requests may share.
 *
 * @param id id of the part
 * @param tokenCount its size, in tokens
 * @author The marjoramgw authors
 */
public record PromptPart(String id, long tokenCount) {
}
