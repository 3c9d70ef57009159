package org.marjoramgw.transport;

import org.marjoramgw.ResultCode;
import org.marjoramgw.wire.Message;

/**
 * Handler of the events of one connection; never called by two threads at the same time.
 *
 * @author The marjoramgw authors
 */
public interface ConnectionHandler {

	/**
	 * Called for each received message.
	 * @param message the message
	 */
	void onMessage(Message message);

	/**
	 * Called once, when the connection has ended or could not be opened.
	 * @param reason why it ended
	 */
	void onClosed(ResultCode reason);

}
