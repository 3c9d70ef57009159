package org.marjoramgw.claim;

import java.util.concurrent.CompletionStage;

/**
 * Claims of idempotency keys; thread-safe and non-blocking.
 *
 * @author The marjoramgw authors
 */
public interface ClaimStore extends AutoCloseable {

	/**
	 * Claims a key for one call.
	 * @param key the key and the call that it stands for
	 * @return completes with the verdict, never exceptionally
	 */
	CompletionStage<ClaimDecision> claim(ClaimKey key);

	/**
	 * Records the result of a call whose claim was won.
	 * @param key the key
	 * @param result the result to return to repeated calls
	 */
	void recordResult(ClaimKey key, RecordedResult result);

	/**
	 * Gives a won claim back, since the call was not run and will not be run under it.
	 * @param key the key
	 */
	void release(ClaimKey key);

	@Override
	void close();

}
