package org.marjoramgw.claim;

import java.util.concurrent.CompletionStage;

/**
 * Store of claims on idempotency keys; thread-safe and non-blocking.
 * <p>
 * A claim is the right to execute the one call that an idempotency key identifies.
 *
 * @author The marjoramgw authors
 */
public interface ClaimStore extends AutoCloseable {

	/**
	 * Claims a key for a call.
	 * @param key the key and the call that it identifies
	 * @return completes with the decision, never exceptionally
	 */
	CompletionStage<ClaimDecision> claim(ClaimKey key);

	/**
	 * Records the result of a call whose claim was granted.
	 * @param key the key
	 * @param result the result to return to repetitions of the call
	 */
	void recordResult(ClaimKey key, RecordedResult result);

	/**
	 * Releases a claim that was granted, since its call was not executed and will not be
	 * executed under this claim.
	 * @param key the key
	 */
	void release(ClaimKey key);

	@Override
	void close();

}
