package org.marjoramgw.direct.follow;

import java.util.concurrent.CompletionStage;

/**
 * Topic of the platform's store that retains the latest record of each key.
 *
 * @author The marjoramgw authors
 */
public interface CompactedTopic {

	/**
	 * Reads a page of the latest records of all keys.
	 * @param afterKey last key of the previous page, or an empty string for the first
	 * page
	 * @return the page
	 */
	CompletionStage<TopicPage> readLatest(String afterKey);

	/**
	 * Reads the latest records of all keys, one page after another.
	 * @return the records; fails if a page fails, or has no records though it isn't the
	 * last one
	 */
	default CompletionStage<TopicSnapshot> readSnapshot() {
		return new SnapshotReader(this).read();
	}

	/**
	 * Reads records from an offset, waiting until there are any (long poll).
	 * @param fromOffset offset of the first record
	 * @param waitMillis how long the store may wait for a record, in milliseconds
	 * @return the records; fails with a {@code RecordsExpiredException} if the store no
	 * longer retains them
	 */
	CompletionStage<TopicSlice> read(long fromOffset, long waitMillis);

}
