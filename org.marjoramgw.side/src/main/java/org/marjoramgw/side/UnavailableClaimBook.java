package org.marjoramgw.side;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.ResultCode;
import org.marjoramgw.claim.ClaimBook;
import org.marjoramgw.claim.ClaimKey;
import org.marjoramgw.claim.ClaimVerdict;
import org.marjoramgw.claim.RecordedResult;

/**
 * Claim book that refuses every claim as not run.
 *
 * @author The marjoramgw authors
 */
final class UnavailableClaimBook implements ClaimBook {

	@Override
	public CompletionStage<ClaimVerdict> claim(ClaimKey key) {
		return CompletableFuture.completedFuture(new ClaimVerdict.Refused(ResultCode.CLAIM_UNAVAILABLE));
	}

	@Override
	public void recordResult(ClaimKey key, RecordedResult result) {
		// nothing was claimed
	}

	@Override
	public void release(ClaimKey key) {
		// nothing was claimed
	}

	@Override
	public void close() {
		// holds nothing
	}

}
