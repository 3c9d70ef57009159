package org.marjoramgw.log;

import java.util.List;

import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;

/**
 * The platform's append-only log service; calls block and belong on a thread of their
 * own.
 *
 * @author The marjoramgw authors
 */
public interface LogService {

	/**
	 * Appends records to a stream in one append.
	 * @param stream name of the stream
	 * @param records the records, each a UTF-8 text
	 * @return offset of the first of the records; the others follow it without gaps
	 * @throws LogUnavailableException if nothing was appended
	 * @throws LogAnswerLostException if the records may have been appended
	 */
	long append(String stream, List<String> records) throws LogUnavailableException, LogAnswerLostException;

	/**
	 * Reads records in the order of their offsets.
	 * @param stream name of the stream
	 * @param fromOffset first offset that is wanted; an expired one reads from the first
	 * that is retained
	 * @param maxRecords bound of the records returned
	 * @return the records and the bounds of the stream
	 * @throws LogUnavailableException if the log can't be read
	 */
	LogSlice read(String stream, long fromOffset, int maxRecords) throws LogUnavailableException;

}
