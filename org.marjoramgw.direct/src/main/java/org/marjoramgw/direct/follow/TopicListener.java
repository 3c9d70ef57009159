package org.marjoramgw.direct.follow;

import java.util.List;

import org.marjoramgw.time.ClockReading;

/**
 * Receiver of what a topic holds; called by one thread at a time.
 *
 * @author The marjoramgw authors
 */
public interface TopicListener {

	/**
	 * Takes the newest record of every key; keys that are missing are gone.
	 * @param records the records
	 */
	void onSnapshot(List<KeyedRecord> records);

	/**
	 * Takes records that follow on what is known.
	 * @param records the records in the order of the topic
	 */
	void onRecords(List<KeyedRecord> records);

	/**
	 * Notes that all that the topic held at a moment is known.
	 * @param moment when the call was sent that confirmed it
	 */
	void onConfirmed(ClockReading moment);

	/**
	 * Notes that the topic could not be read.
	 */
	void onUnreachable();

}
