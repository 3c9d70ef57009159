package org.marjoramgw.claim;

/**
 * Result of a call that ran.
 *
 * @param httpStatus status of the backend server's answer
 * @param contentType content type of the answer
 * @param body body of the answer as UTF-8 text, bounded by the claim book
 * @author The marjoramgw authors
 */
public record RecordedResult(int httpStatus, String contentType, String body) {
}
