package org.marjoramgw.direct.follow;

import java.util.List;

import org.marjoramgw.time.ClockReading;

/**
 * Receiver of the records of a topic. Called by one thread at a time.
 *
 * @author The marjoramgw authors
 */
public interface TopicListener {

	/**
	 * Called with a snapshot of the topic. Keys that are missing from it no longer exist.
	 * @param records the latest record of every key
	 */
	void onSnapshot(List<KeyedRecord> records);

	/**
	 * Called with records that were appended after the last call.
	 * @param records the records in the order of the topic
	 */
	void onRecords(List<KeyedRecord> records);

	/**
	 * Called when all records that the topic contained at a moment have been delivered.
	 * @param confirmedAt when the confirming call was sent
	 */
	void onConfirmed(ClockReading confirmedAt);

	/**
	 * Called when the topic could not be read.
	 */
	void onUnreachable();

}
