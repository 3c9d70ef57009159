package org.marjoramgw.trace;

/**
 * One decision about a request.
 *
 * @param timeMillis when, in milliseconds
 * @param requestId id of the request
 * @param step what was decided, for example {@code grant}
 * @param code number of the result, or 0
 * @param detail details for people
 * @author The marjoramgw authors
 */
public record Decision(long timeMillis, String requestId, String step, int code, String detail) {
}
