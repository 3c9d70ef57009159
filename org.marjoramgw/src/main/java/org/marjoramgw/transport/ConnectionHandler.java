package org.marjoramgw.transport;

import org.marjoramgw.ResultCode;
import org.marjoramgw.wire.Message;

/**
 * Receiver of what happens on one connection; called from one thread at a time.
 *
 * @author The marjoramgw authors
 */
public interface ConnectionHandler {

	/**
	 * Receives a message.
	 * @param message the message
	 */
	void onMessage(Message message);

	/**
	 * Learns that the connection is gone; called once.
	 * @param reason why it is gone
	 */
	void onClosed(ResultCode reason);

}
