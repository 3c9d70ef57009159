package org.marjoramgw.direct.follow;

import java.util.List;

/**
 * Consecutive records of a topic.
 *
 * @param records the records, may be empty
 * @param nextOffset offset to read from next
 * @author The marjoramgw authors
 */
public record TopicSlice(List<KeyedRecord> records, long nextOffset) {
}
