package org.marjoramgw.standin.engine;

/**
 * Receiver of a generation's tokens.
 *
 * @author The marjoramgw authors
 */
interface TokenSink {

	/**
	 * Takes one token.
	 * @param text its text
	 * @return whether the receiver is still there
	 */
	boolean emit(String text);

	/**
	 * Ends the answer.
	 * @param finishReason {@code stop}, {@code length} or {@code cancelled}
	 */
	void finish(String finishReason);

	/**
	 * Breaks the answer off.
	 */
	void abort();

}
