package org.marjoramgw.direct.follow;

import java.util.List;

/**
 * Consecutive records of a topic. The store limits the size of a read, so that a slice
 * doesn't always reach the end of the topic.
 *
 * @param records the records, may be empty
 * @param nextOffset offset to read from next
 * @param endOffset offset of the next record to be appended, at the time of the read
 * @author The marjoramgw authors
 */
public record TopicSlice(List<KeyedRecord> records, long nextOffset, long endOffset) {

	/**
	 * Tells whether this slice contains all records up to the end of the topic.
	 * @return whether it reaches the end
	 */
	public boolean reachesEnd() {
		return this.nextOffset >= this.endOffset;
	}

}
