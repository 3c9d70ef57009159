package org.marjoramgw.entry.side;

import java.util.Optional;

import org.marjoramgw.ResultCode;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerStatus;

/**
 * Listener for events on a link to a side process.
 *
 * @author The marjoramgw authors
 */
interface SideLinkListener {

	/**
	 * Checks the protocol version and token of the peer's handshake.
	 * @param hello the peer's first message
	 * @return why it is rejected, or empty if it is valid
	 */
	Optional<ResultCode> checkHello(Message.Hello hello);

	/**
	 * Called when the handshake has succeeded and the link can be used.
	 * @param link the link
	 * @param hello the peer's first message
	 */
	void onEstablished(SideLink link, Message.Hello hello);

	/**
	 * Called when a heartbeat brings the peer's status.
	 * @param link the link
	 * @param status status of the peer
	 */
	void onStatus(SideLink link, PeerStatus status);

	/**
	 * Called for each message about a request or the configuration.
	 * @param link the link
	 * @param message the message
	 */
	void onMessage(SideLink link, Message message);

	/**
	 * Called when the peer violates the protocol, or rejects this process with a goodbye.
	 * @param link the link
	 * @param code result code that says why
	 */
	void onRejected(SideLink link, ResultCode code);

	/**
	 * Called when the connection is closed.
	 * @param link the link
	 * @param reason result code that says why
	 */
	void onClosed(SideLink link, ResultCode reason);

}
