package org.marjoramgw.config;

/**
 * Accepted revision as recorded in the log.
 *
 * @param revision revision number; the text is based on the previous revision
 * @param timeMillis time of the record by the log's clock, in milliseconds, or 0 if
 * unknown
 * @param operator name of the operator who published it, or an empty string if unknown
 * @param text the TOML text
 * @author The marjoramgw authors
 */
public record Revision(long revision, long timeMillis, String operator, String text) {
}
