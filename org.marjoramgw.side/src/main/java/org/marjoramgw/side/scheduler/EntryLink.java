package org.marjoramgw.side.scheduler;

import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerIdentity;

/**
 * Connection to an entry that has said who it is.
 *
 * @author The marjoramgw authors
 */
public interface EntryLink {

	/**
	 * Returns who is at the other end.
	 * @return the entry's identity
	 */
	PeerIdentity peer();

	/**
	 * Sends a message; one to a closed connection is dropped.
	 * @param message the message
	 */
	void send(Message message);

	/**
	 * Learns whether requests of the entry are open here.
	 * @param open whether any came over this connection and isn't over
	 */
	void setOpenRequests(boolean open);

}
