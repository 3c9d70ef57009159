package org.marjoramgw.errors;

import java.util.concurrent.CompletionException;

import org.marjoramgw.ResultCode;

/**
 * Signals that the store no longer has the requested records of a topic.
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

	/**
	 * Creates an exception.
	 * @param detail what was requested, and why the store doesn't have it
	 */
	public RecordsExpiredException(String detail) {
		super(ResultCode.RECORDS_EXPIRED, detail, null);
	}

	/**
	 * Tells whether a read failed because its records have expired.
	 * @param failure failure of the read, also as wrapped by a completion stage
	 * @return whether they have
	 */
	public static boolean isCauseOf(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return cause instanceof RecordsExpiredException;
	}

}
