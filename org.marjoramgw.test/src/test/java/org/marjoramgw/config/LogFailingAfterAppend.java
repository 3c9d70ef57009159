package org.marjoramgw.config;

import java.util.List;

import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogService;
import org.marjoramgw.log.LogSlice;
import org.marjoramgw.log.MemoryLog;

/**
 * Log service that loses the response to the first append and is unavailable afterwards.
 *
 * @author The marjoramgw authors
 */
final class LogFailingAfterAppend implements LogService {

	private final MemoryLog log;

	LogFailingAfterAppend(MemoryLog log) {
		this.log = log;
	}

	@Override
	public long append(String stream, List<String> records) throws LogUnavailableException, LogAnswerLostException {
		try {
			this.log.append(stream, records);
		}
		finally {
			this.log.setUnavailable(true);
		}
		throw new LogAnswerLostException("lost", null);
	}

	@Override
	public LogSlice read(String stream, long fromOffset, int maxRecords) throws LogUnavailableException {
		return this.log.read(stream, fromOffset, maxRecords);
	}

}
