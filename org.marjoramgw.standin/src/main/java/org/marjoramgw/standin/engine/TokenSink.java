package org.marjoramgw.standin.engine;

/**
 * Receiver of the tokens of a generation.
 *
 * @author The marjoramgw authors
 */
interface TokenSink {

	/**
	 * Emits one token.
	 * @param text text of the token
	 * @return whether the receiver is still connected
	 */
	boolean emit(String text);

	/**
	 * Completes the response.
	 * @param finishReason {@code stop}, {@code length} or {@code cancelled}
	 */
	void finish(String finishReason);

	/**
	 * Aborts the response.
	 */
	void abort();

}
