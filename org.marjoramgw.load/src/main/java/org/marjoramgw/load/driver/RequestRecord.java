package org.marjoramgw.load.driver;

/**
 * Request and what became of it, as its caller saw it.
 *
 * @param requestClass its class
 * @param account its client account
 * @param arrivalMillis when it was due, in milliseconds after the first phase began
 * @param firstTokenMillis time from then to the first token, in milliseconds; -1 if none
 * came
 * @param completionMillis time from then to the end of the answer, in milliseconds
 * @param gapP95Millis 95th percentile of the gaps between tokens, in milliseconds; -1 if
 * there was no gap
 * @param tokens tokens that came
 * @param status HTTP status, or 0
 * @param errorCode number of the result in an error, or 0
 * @param outcome outcome named in an error, or an empty text
 * @param complete whether the whole answer came
 * @param misdelivered whether a token belonged to another request
 * @param requestId request id that the entry gave
 * @param failureReason what broke the call off at the caller, or an empty text
 * @author The marjoramgw authors
 */
public record RequestRecord(String requestClass, String account, long arrivalMillis, long firstTokenMillis,
		long completionMillis, long gapP95Millis, int tokens, int status, int errorCode, String outcome,
		boolean complete, boolean misdelivered, String requestId, String failureReason) {
}
