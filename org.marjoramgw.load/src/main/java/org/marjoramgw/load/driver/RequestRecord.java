package org.marjoramgw.load.driver;

/**
 * Outcome of a request as observed by its caller.
 *
 * @param requestClass name of the request class
 * @param account name of the client account
 * @param arrivalMillis time at which it was due, in milliseconds after the start of the
 * first phase
 * @param firstTokenMillis time from the due time to the first token, in milliseconds; -1
 * if no token was received
 * @param completionMillis time from the due time to the end of the response, in
 * milliseconds
 * @param gapP95Millis 95th percentile of the gaps between successive tokens, in
 * milliseconds; -1 if there was no gap
 * @param tokens number of tokens received
 * @param status HTTP status, or 0 if no response was received
 * @param errorCode result code in an error response, or 0
 * @param outcome execution outcome in an error response, or an empty string
 * @param complete whether the complete response was received
 * @param misdelivered whether a received token belonged to another request
 * @param requestId request id assigned by the entry
 * @param failureReason why the call failed at the caller, or an empty string
 * @author The marjoramgw authors
 */
public record RequestRecord(String requestClass, String account, long arrivalMillis, long firstTokenMillis,
		long completionMillis, long gapP95Millis, int tokens, int status, int errorCode, String outcome,
		boolean complete, boolean misdelivered, String requestId, String failureReason) {
}
