package org.marjoramgw.direct.follow;

import java.util.List;

/**
 * Latest records of a topic.
 *
 * @param records the latest record of each key
 * @param end position from which on the topic is to be read further; the records of later
 * pages may be repeated
 * @author The marjoramgw authors
 */
public record TopicSnapshot(List<KeyedRecord> records, TopicPosition end) {
}
