package org.marjoramgw.direct.caller;

/**
 * What a connection of a caller needs of its socket.
 *
 * @author The marjoramgw authors
 */
public interface CallerSocket {

	/**
	 * Closes the connection from this side.
	 */
	void closeGracefully();

	/**
	 * Asks the system whether the peer has closed the connection, also if nobody has read
	 * that yet.
	 * @return whether it has
	 */
	boolean hasEnded();

	/**
	 * Asks the system whether bytes have arrived that nobody has taken yet.
	 * @return whether there are any
	 */
	boolean hasUnreadBytes();

}
