package org.marjoramgw.log;

import java.util.List;

/**
 * Consecutive records of a stream.
 *
 * @param firstOffset offset of the first retained record of the stream
 * @param nextOffset offset of the next record to be appended to the stream
 * @param records the records that were read
 * @author The marjoramgw authors
 */
public record LogSlice(long firstOffset, long nextOffset, List<LogRecord> records) {
}
