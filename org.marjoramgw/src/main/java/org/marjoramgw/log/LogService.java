package org.marjoramgw.log;

import java.util.List;

import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;

/**
 * The platform's append-only log service. Calls block, so they should be made on a
 * dedicated thread.
 *
 * @author The marjoramgw authors
 */
public interface LogService {

	/**
	 * Appends records to a stream in one operation.
	 * @param stream name of the stream
	 * @param records texts of the records, stored in UTF-8
	 * @return offset of the first record; the others follow without gaps
	 * @throws LogUnavailableException if nothing was appended
	 * @throws LogAnswerLostException if the records may have been appended
	 */
	long append(String stream, List<String> records) throws LogUnavailableException, LogAnswerLostException;

	/**
	 * Reads records in the order of their offsets.
	 * @param stream name of the stream
	 * @param fromOffset first offset to read; if it has expired, the read starts at the
	 * first retained offset
	 * @param maxRecords maximum number of records to return
	 * @return the records and the first and next offset of the stream
	 * @throws LogUnavailableException if the log can't be read
	 */
	LogSlice read(String stream, long fromOffset, int maxRecords) throws LogUnavailableException;

}
