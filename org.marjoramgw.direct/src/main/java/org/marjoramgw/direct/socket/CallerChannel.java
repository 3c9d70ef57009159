package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

import org.marjoramgw.time.ClockReading;

/**
 * Channel of one accepted socket and its registration with the selector. Not thread-safe;
 * guarded by the lock of its socket.
 *
 * @author The marjoramgw authors
 */
final class CallerChannel {

	private final SocketAcceptor acceptor;

	private final SocketChannel channel;

	private final SelectionKey key;

	CallerChannel(SocketAcceptor acceptor, SocketChannel channel, SelectionKey key) {
		this.acceptor = acceptor;
		this.channel = channel;
		this.key = key;
	}

	boolean isOpen() {
		return this.channel.isOpen();
	}

	/**
	 * Returns the address of the peer.
	 * @return the address without a port, empty if the connection has ended
	 */
	String peerAddress() {
		try {
			return (this.channel.getRemoteAddress() instanceof InetSocketAddress peer)
					? peer.getAddress().getHostAddress() : "";
		}
		catch (IOException ex) {
			return "";
		}
	}

	/**
	 * Reads once.
	 * @param buffer receives the bytes
	 * @return whether the end of the input was reached
	 */
	boolean read(ReadAheadBuffer buffer) {
		try {
			return this.acceptor.read(this.channel, buffer::add) < 0;
		}
		catch (IOException ex) {
			// A reset is treated like an orderly close, since nothing is owed to the
			// peer.
			return true;
		}
	}

	/**
	 * Ends the output.
	 * @return whether the connection is still open
	 */
	boolean shutdownOutput() {
		try {
			this.channel.shutdownOutput();
			return true;
		}
		catch (IOException ex) {
			// The connection is already closed.
			return false;
		}
	}

	/**
	 * Sets the operations that the selector waits for.
	 * @param reading whether it waits for bytes to read
	 * @param writing whether it waits until bytes can be written
	 */
	void setInterest(boolean reading, boolean writing) {
		if (this.key.isValid()) {
			this.key.interestOps((reading ? SelectionKey.OP_READ : 0) | (writing ? SelectionKey.OP_WRITE : 0));
		}
	}

	void close() {
		SocketAcceptor.closeQuietly(this.channel);
	}

	ClockReading now() {
		return this.acceptor.now();
	}

}
