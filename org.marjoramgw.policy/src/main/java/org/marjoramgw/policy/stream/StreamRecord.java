package org.marjoramgw.policy.stream;

/**
 * Record of a stream that callers may take up.
 *
 * @param key key of the request that brought its first event
 * @param origin its origin
 * @author The marjoramgw authors
 */
public record StreamRecord(long key, StreamOrigin origin) {
}
