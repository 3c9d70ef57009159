package org.marjoramgw.log;

/**
 * Record of a stream.
 *
 * @param offset its offset
 * @param timeMillis when it was appended, by the log service's clock, in milliseconds
 * @param data the UTF-8 text
 * @author The marjoramgw authors
 */
public record LogRecord(long offset, long timeMillis, String data) {
}
