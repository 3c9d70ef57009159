package org.marjoramgw.direct.follow;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.errors.RecordsExpiredException;

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
	 * Reads records from a position, waiting until there are any (long poll).
	 * @param from position of the first record
	 * @param waitMillis how long the store may wait for a record, in milliseconds
	 * @return the records; fails with a {@code RecordsExpiredException} if the store no
	 * longer retains them, or answers in another era, in which the offset stands for
	 * other records
	 */
	default CompletionStage<TopicSlice> readFrom(TopicPosition from, long waitMillis) {
		return read(from.offset(), waitMillis).thenApply((slice) -> {
			if (slice.era() != from.era()) {
				throw new CompletionException(new RecordsExpiredException(from + " read in era " + slice.era()));
			}
			return slice;
		});
	}

	/**
	 * Reads records from an offset, waiting until there are any (long poll). Callers use
	 * {@link #readFrom}, which checks the era.
	 * @param fromOffset offset of the first record
	 * @param waitMillis how long the store may wait for a record, in milliseconds
	 * @return the records; fails with a {@code RecordsExpiredException} if the store no
	 * longer retains them
	 */
	CompletionStage<TopicSlice> read(long fromOffset, long waitMillis);

}
