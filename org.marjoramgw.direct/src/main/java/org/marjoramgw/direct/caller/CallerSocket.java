package org.marjoramgw.direct.caller;

import java.util.function.BooleanSupplier;

import org.marjoramgw.policy.memory.MemoryHolder;

/**
 * Socket of a caller, as needed by {@link CallerConnection}.
 *
 * @author The marjoramgw authors
 */
public interface CallerSocket {

	/**
	 * Closes the connection from this side immediately. Bytes that were already written
	 * to the operating system are still delivered; others are dropped.
	 */
	void closeGracefully();

	/**
	 * Ends the input of the connection unless it has unread bytes. The connection is
	 * closed once everything that is still to be written for earlier input was written.
	 * @param condition tells whether no request is being read; no bytes are taken from
	 * the socket meanwhile
	 */
	void finishIf(BooleanSupplier condition);

	/**
	 * Ends the input of the connection and discards what was not taken from it. The
	 * connection is closed once the response in progress was written.
	 */
	void endInput();

	/**
	 * Returns the memory that is held for the connection.
	 * @return the memory
	 */
	MemoryHolder memory();

	/**
	 * Returns the address of the peer.
	 * @return the address without a port, empty if the connection has ended
	 */
	String peerAddress();

	/**
	 * Returns the arrival times of the requests on this connection.
	 * @return the arrival times, to which each read is added
	 */
	RequestArrivals arrivals();

	/**
	 * Checks for a disconnect of the peer, including one that was not read yet.
	 * @return whether the peer has closed the connection
	 */
	boolean hasEnded();

	/**
	 * Tells whether bytes wait until the peer has read earlier ones.
	 * @return whether there are any
	 */
	boolean isWriting();

	/**
	 * Tells whether this side has closed the connection or the peer has, so that nothing
	 * more is written.
	 * @return whether it is closed
	 */
	boolean isClosed();

}
