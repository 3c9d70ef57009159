package org.marjoramgw.errors;

import org.marjoramgw.ResultCode;

/**
 * Signals that the requested records of a topic have expired in the store.
 *
 * @author The marjoramgw authors
 */
public final class RecordsExpiredException extends CodedException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param topic name of the topic
	 * @param fromOffset first offset of the requested records
	 */
	public RecordsExpiredException(String topic, long fromOffset) {
		super(ResultCode.RECORDS_EXPIRED, topic + " from offset " + fromOffset, null);
	}

}
