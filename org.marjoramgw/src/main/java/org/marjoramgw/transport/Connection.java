package org.marjoramgw.transport;

import org.marjoramgw.wire.Message;

/**
 * One framed connection to a peer.
 *
 * @author The marjoramgw authors
 */
public interface Connection extends AutoCloseable {

	/**
	 * Sends a message; a connection whose peer doesn't read is closed once its bounded
	 * buffer is full.
	 * @param message the message
	 */
	void send(Message message);

	/**
	 * Closes after what was sent; later sends are dropped.
	 */
	@Override
	void close();

}
