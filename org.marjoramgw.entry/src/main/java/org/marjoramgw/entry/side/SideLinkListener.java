package org.marjoramgw.entry.side;

import java.util.Optional;

import org.marjoramgw.ResultCode;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerStatus;

/**
 * Receiver of what happens on a link.
 *
 * @author The marjoramgw authors
 */
interface SideLinkListener {

	/**
	 * Checks version and token of a greeting.
	 * @param hello the greeting
	 * @return why it is refused, or empty if the peer may go on
	 */
	Optional<ResultCode> checkHello(Message.Hello hello);

	/**
	 * Learns that the peer was greeted and the link can be used.
	 * @param link the link
	 * @param hello the greeting
	 */
	void onEstablished(SideLink link, Message.Hello hello);

	/**
	 * Learns the peer's status.
	 * @param link the link
	 * @param status the status
	 */
	void onStatus(SideLink link, PeerStatus status);

	/**
	 * Takes a message about a request or the configuration.
	 * @param link the link
	 * @param message the message
	 */
	void onMessage(SideLink link, Message message);

	/**
	 * Learns that the peer broke the protocol.
	 * @param link the link
	 * @param code what was wrong
	 */
	void onRejected(SideLink link, ResultCode code);

	/**
	 * Learns that the connection is gone.
	 * @param link the link
	 * @param reason why
	 */
	void onClosed(SideLink link, ResultCode reason);

}
