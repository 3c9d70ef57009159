package org.marjoramgw.direct.follow;

import java.util.List;

/**
 * Consecutive records of a topic. The store limits the size of a read, so that a slice
 * doesn't always reach the end of the topic.
 *
 * @param records the records, may be empty
 * @param nextOffset offset to read from next
 * @param endOffset offset of the next record to be appended, at the time of the read
 * @param era era of the store that answered
 * @author The marjoramgw authors
 */
public record TopicSlice(List<KeyedRecord> records, long nextOffset, long endOffset, long era) {

	/**
	 * Creates a slice of a store without eras.
	 * @param records the records, may be empty
	 * @param nextOffset offset to read from next
	 * @param endOffset offset of the next record to be appended, at the time of the read
	 */
	public TopicSlice(List<KeyedRecord> records, long nextOffset, long endOffset) {
		this(records, nextOffset, endOffset, TopicPosition.NO_ERA);
	}

	/**
	 * Returns the position to read from next.
	 * @return the position, in the era of this slice
	 */
	public TopicPosition next() {
		return new TopicPosition(this.era, this.nextOffset);
	}

	/**
	 * Tells whether this slice contains all records up to the end of the topic.
	 * @return whether it reaches the end
	 */
	public boolean reachesEnd() {
		return this.nextOffset >= this.endOffset;
	}

}
