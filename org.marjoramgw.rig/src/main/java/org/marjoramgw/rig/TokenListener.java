package org.marjoramgw.rig;

/**
 * Listener for the tokens of a response.
 *
 * @author The marjoramgw authors
 */
@FunctionalInterface
public interface TokenListener {

	/** Listener that ignores every token. */
	TokenListener NONE = (text) -> {
	};

	/**
	 * Called with a token of a streamed response, or with the complete text of a
	 * non-streamed one.
	 * @param text the text
	 */
	void onToken(String text);

}
