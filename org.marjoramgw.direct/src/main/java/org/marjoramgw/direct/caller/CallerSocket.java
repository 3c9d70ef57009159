package org.marjoramgw.direct.caller;

/**
 * Socket of a caller, as needed by {@link CallerConnection}.
 *
 * @author The marjoramgw authors
 */
public interface CallerSocket {

	/**
	 * Closes the connection after what was written has been sent.
	 */
	void closeGracefully();

	/**
	 * Checks for a disconnect of the peer, including one that was not read yet.
	 * @return whether the peer has closed the connection
	 */
	boolean hasEnded();

	/**
	 * Checks for bytes that were received and not taken yet.
	 * @return whether there are any
	 */
	boolean hasUnreadBytes();

}
