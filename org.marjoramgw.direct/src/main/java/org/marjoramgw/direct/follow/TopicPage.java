package org.marjoramgw.direct.follow;

import java.util.List;

/**
 * Page of the newest records of a topic.
 *
 * @param records the newest record of each key of the page
 * @param hasMore whether further keys follow
 * @param endOffset offset of the next record of the topic at the time of this page
 * @author The marjoramgw authors
 */
public record TopicPage(List<KeyedRecord> records, boolean hasMore, long endOffset) {
}
