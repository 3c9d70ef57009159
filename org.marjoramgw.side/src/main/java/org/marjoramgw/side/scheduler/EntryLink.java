package org.marjoramgw.side.scheduler;

import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerIdentity;

/**
 * Connection to an entry that has identified itself.
 *
 * @author The marjoramgw authors
 */
public interface EntryLink {

	/**
	 * Returns the identity of the connected entry.
	 * @return the identity
	 */
	PeerIdentity peer();

	/**
	 * Sends a message; messages to a closed connection are discarded.
	 * @param message the message
	 */
	void send(Message message);

	/**
	 * Sets whether the entry has open requests on this connection.
	 * @param open whether any request that is bound to this connection is unfinished
	 */
	void setOpenRequests(boolean open);

}
