package org.marjoramgw.claim;

/**
 * Result of a call that was executed.
 *
 * @param httpStatus HTTP status of the backend server's response
 * @param contentType content type of the response
 * @param body body of the response as UTF-8 text, or {@code null} if the complete body
 * isn't available as text; the claim store doesn't record a body over its size limit
 * @author The marjoramgw authors
 */
public record RecordedResult(int httpStatus, String contentType, String body) {
}
