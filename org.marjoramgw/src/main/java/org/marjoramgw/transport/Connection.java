package org.marjoramgw.transport;

import org.marjoramgw.wire.Message;

/**
 * Connection to a peer process that carries framed messages.
 *
 * @author The marjoramgw authors
 */
public interface Connection extends AutoCloseable {

	/**
	 * Queues a message for sending. If the bounded send queue is full because the peer
	 * doesn't read, the connection is closed.
	 * @param message the message
	 */
	void send(Message message);

	/**
	 * Closes the connection once the queued messages are sent; messages passed to
	 * {@link #send} afterwards are dropped.
	 */
	@Override
	void close();

}
