package org.marjoramgw.claim.internal;

/**
 * Claim that holds its key.
 *
 * @param claimId unique id of the claim
 * @param requestHash hash of the request
 * @param processId process that made the claim
 * @param incarnation incarnation of that process
 * @param timeMillis time of the claim record by the log's clock, in milliseconds
 * @param resultOffset offset of its result record, or {@link #NO_RESULT}
 * @author The marjoramgw authors
 */
public record HeldClaim(String claimId, TruncatedSha256 requestHash, String processId, long incarnation,
		long timeMillis, long resultOffset) {

	/** Value of the result offset while the claim has no result record. */
	public static final long NO_RESULT = -1;

	/**
	 * Tells whether the call's result is recorded.
	 * @return whether there is a result record
	 */
	public boolean hasResult() {
		return this.resultOffset != NO_RESULT;
	}

	HeldClaim withResult(long offset) {
		return new HeldClaim(this.claimId, this.requestHash, this.processId, this.incarnation, this.timeMillis, offset);
	}

}
