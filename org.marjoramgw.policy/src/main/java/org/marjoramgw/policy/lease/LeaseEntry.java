package org.marjoramgw.policy.lease;

/**
 * Lease record at its place in the topic.
 *
 * @param offset offset of the record
 * @param lease the record
 * @author The marjoramgw authors
 */
public record LeaseEntry(long offset, LeaseRecord lease) {
}
