package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals that records of a topic were asked for that the store no longer holds.
 *
 * @author The marjoramgw authors
 */
public final class RecordsExpiredException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param topic name of the topic
	 * @param fromOffset first offset that was asked for
	 */
	public RecordsExpiredException(String topic, long fromOffset) {
		super(ResultCode.RECORDS_EXPIRED, topic + " from offset " + fromOffset, null);
	}

}
