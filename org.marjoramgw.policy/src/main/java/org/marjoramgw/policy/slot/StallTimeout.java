package org.marjoramgw.policy.slot;

/**
 * Longest time that a stream may be silent before it counts as stalled.
 *
 * @param firstTokenMillis first-token target of its class, in milliseconds, or 0 if
 * unknown
 * @param tokenGapMillis target for the gap between its tokens, in milliseconds, or 0 if
 * unknown
 * @author The marjoramgw authors
 */
public record StallTimeout(long firstTokenMillis, long tokenGapMillis) {

	private static final long MIN_FIRST_TOKEN_TIMEOUT_MILLIS = 5_000;

	private static final long MIN_TOKEN_TIMEOUT_MILLIS = 2_000;

	private static final int TOKEN_TIMEOUT_GAPS = 10;

	/**
	 * Returns the timeout for the next output.
	 * @param hasOutput whether the stream has had output already
	 * @return the timeout, in milliseconds
	 */
	public long timeoutMillis(boolean hasOutput) {
		return hasOutput ? Math.max(MIN_TOKEN_TIMEOUT_MILLIS, this.tokenGapMillis * TOKEN_TIMEOUT_GAPS)
				: Math.max(MIN_FIRST_TOKEN_TIMEOUT_MILLIS, this.firstTokenMillis);
	}

}
