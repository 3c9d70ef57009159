package org.marjoramgw.log;

import java.util.List;

/**
 * Part of a stream.
 *
 * @param firstOffset offset of the first record that is retained
 * @param nextOffset offset that the next appended record gets
 * @param records the records that were read
 * @author The marjoramgw authors
 */
public record LogSlice(long firstOffset, long nextOffset, List<LogRecord> records) {
}
