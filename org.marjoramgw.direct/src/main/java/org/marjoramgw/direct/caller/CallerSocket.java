package org.marjoramgw.direct.caller;

/**
 * Socket of a caller, as needed by {@link CallerConnection}.
 *
 * @author The marjoramgw authors
 */
public interface CallerSocket {

	/**
	 * Closes the connection from this side. Bytes that were already written are still
	 * delivered.
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
