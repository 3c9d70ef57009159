package org.marjoramgw.direct.follow;

import java.util.Optional;

/**
 * Record of a compacted topic.
 *
 * @param key the key
 * @param value value of the key, or empty if the key was deleted
 * @param offset offset of the record
 * @author The marjoramgw authors
 */
public record KeyedRecord(String key, Optional<byte[]> value, long offset) {
}
