package org.marjoramgw.config;

/**
 * Accepted revision as the log tells it.
 *
 * @param revision its number; it was made from the one before
 * @param timeMillis when the log took it, by the log's clock, in milliseconds, or 0 if
 * not known
 * @param operator who published it, or an empty text if not known
 * @param text the TOML text
 * @author The marjoramgw authors
 */
public record Revision(long revision, long timeMillis, String operator, String text) {
}
