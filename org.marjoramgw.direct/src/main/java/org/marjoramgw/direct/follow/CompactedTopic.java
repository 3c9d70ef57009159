package org.marjoramgw.direct.follow;

import java.util.concurrent.CompletionStage;

/**
 * Topic of the platform's store that keeps the newest record of each key.
 *
 * @author The marjoramgw authors
 */
public interface CompactedTopic {

	/**
	 * Reads a page of the newest records.
	 * @param afterKey last key of the page before, or an empty text
	 * @return the page
	 */
	CompletionStage<TopicPage> readLatest(String afterKey);

	/**
	 * Reads records as soon as there are any.
	 * @param fromOffset offset of the first record wanted
	 * @param waitMillis how long the store may wait for a record, in milliseconds
	 * @return the records; fails with a {@code RecordsExpiredException} if they are gone
	 */
	CompletionStage<TopicSlice> read(long fromOffset, long waitMillis);

}
