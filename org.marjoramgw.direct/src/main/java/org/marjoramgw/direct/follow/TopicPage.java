package org.marjoramgw.direct.follow;

import java.util.List;

/**
 * Page of the latest records of a topic.
 *
 * @param records the latest record of each key of the page
 * @param hasMore whether more pages follow
 * @param endOffset offset of the next record to be appended, at the time of this page
 * @param era era of the store that answered
 * @author The marjoramgw authors
 */
public record TopicPage(List<KeyedRecord> records, boolean hasMore, long endOffset, long era) {

	/**
	 * Creates a page of a store without eras.
	 * @param records the latest record of each key of the page
	 * @param hasMore whether more pages follow
	 * @param endOffset offset of the next record to be appended, at the time of this page
	 */
	public TopicPage(List<KeyedRecord> records, boolean hasMore, long endOffset) {
		this(records, hasMore, endOffset, TopicPosition.NO_ERA);
	}

}
