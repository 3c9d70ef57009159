package org.marjoramgw.log;

/**
 * Record of a stream.
 *
 * @param offset offset of the record
 * @param timeMillis time of the append by the log service's clock, in milliseconds
 * @param data text of the record, stored in UTF-8
 * @author The marjoramgw authors
 */
public record LogRecord(long offset, long timeMillis, String data) {
}
