package org.marjoramgw.direct.follow;

import java.util.Optional;

/**
 * Record of a topic that keeps the newest value of each key.
 *
 * @param key the key
 * @param value the value, or empty if the key was deleted
 * @param offset offset of the record
 * @author The marjoramgw authors
 */
public record KeyedRecord(String key, Optional<byte[]> value, long offset) {
}
