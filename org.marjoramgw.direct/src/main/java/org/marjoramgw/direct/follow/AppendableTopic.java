package org.marjoramgw.direct.follow;

import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Topic to which this system may append.
 *
 * @author The marjoramgw authors
 */
public interface AppendableTopic extends CompactedTopic {

	/**
	 * Appends records, all of them or none. A record without a value deletes its key.
	 * @param records the records; their offsets are ignored
	 * @return completes when the store has acknowledged the records; after a failure they
	 * may have been appended all the same
	 */
	CompletionStage<Void> append(List<KeyedRecord> records);

	/**
	 * Appends records, all of them or none, if the topic ends at an offset.
	 * @param records the records; their offsets are ignored
	 * @param endOffset offset at which the topic must end
	 * @return completes with the answer of the store; after a failure the records may
	 * have been appended all the same, or may be appended later if the topic still ends
	 * there
	 */
	CompletionStage<AppendResult> appendAt(List<KeyedRecord> records, long endOffset);

}
