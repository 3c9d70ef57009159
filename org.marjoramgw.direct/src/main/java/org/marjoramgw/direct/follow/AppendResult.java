package org.marjoramgw.direct.follow;

/**
 * Result of a conditional append.
 *
 * @param appended whether the records were appended; otherwise the topic ended elsewhere
 * @param firstOffset offset of the first record, if they were appended
 * @param endOffset offset of the next record to be appended
 * @author The marjoramgw authors
 */
public record AppendResult(boolean appended, long firstOffset, long endOffset) {
}
