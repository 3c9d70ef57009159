package org.marjoramgw.rig;

/**
 * Result of a request, as seen by the client.
 *
 * @param status HTTP status; 0 if no response was received
 * @param requestId request id in the response, or an empty string
 * @param text text of the response: the body of a call to a plain service, or the
 * complete text of a chat
 * @param complete whether a successful response was received completely
 * @param errorCode number of the result code in an error, or 0
 * @param outcome execution outcome in an error, or an empty string
 * @param retryAfterSeconds value of {@code Retry-After}, in seconds, or 0
 * @param failure cause of a failed request, or an empty string
 * @author The marjoramgw authors
 */
public record CallResult(int status, String requestId, String text, boolean complete, int errorCode, String outcome,
		long retryAfterSeconds, String failure) {
}
