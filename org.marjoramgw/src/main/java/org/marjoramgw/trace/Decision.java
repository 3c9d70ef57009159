package org.marjoramgw.trace;

/**
 * Record of one decision of a process about a request.
 *
 * @param timeMillis wall-clock time of the decision, in milliseconds
 * @param requestId id of the request
 * @param step kind of decision, for example {@code grant}
 * @param code number of the result code, or 0 for none
 * @param detail human-readable details
 * @author The marjoramgw authors
 */
public record Decision(long timeMillis, String requestId, String step, int code, String detail) {
}
