package org.marjoramgw.rig;

/**
 * Answer to a call, as its caller saw it.
 *
 * @param status HTTP status; 0 if no answer came
 * @param requestId request id of the answer, or an empty text
 * @param text text of the answer: the body of a plain call, the whole text of a chat
 * @param complete whether the answer ended as it should
 * @param errorCode number of the result in an error, or 0
 * @param outcome outcome named in an error, or an empty text
 * @param retryAfterSeconds value of {@code Retry-After}, in seconds, or 0
 * @param failure what broke the call off, or an empty text
 * @author The marjoramgw authors
 */
public record CallResult(int status, String requestId, String text, boolean complete, int errorCode, String outcome,
		long retryAfterSeconds, String failure) {
}
