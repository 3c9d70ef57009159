package org.marjoramgw.claim;

/**
 * Result of a call that ran.
 *
 * @param httpStatus status of the backend server's answer
 * @param contentType content type of the answer
 * @param body body of the answer as UTF-8 text, or {@code null} if the whole body isn't
 * at hand as text; the claim book records none over its bound
 * @author The marjoramgw authors
 */
public record RecordedResult(int httpStatus, String contentType, String body) {
}
