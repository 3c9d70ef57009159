package org.marjoramgw.rig;

/**
 * Listener to the tokens of an answer.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface TokenListener {

	/** Listener that ignores every token. */
	TokenListener NONE = (text) -> {
	};

	/**
	 * Takes one piece of a streamed answer.
	 * @param text its text
	 */
	void onToken(String text);

}
