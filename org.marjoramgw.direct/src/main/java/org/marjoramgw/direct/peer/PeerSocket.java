package org.marjoramgw.direct.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.List;

import org.marjoramgw.HostPort;
import org.tinylog.Logger;

/**
 * Non-blocking UDP socket that is read at the caller's pace, so that it needs neither a
 * thread nor a selector. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class PeerSocket implements AutoCloseable {

	/**
	 * Maximum number of datagrams that are read together, so that a flood of them can't
	 * hold the thread. The operating system drops what exceeds its buffer.
	 */
	private static final int MAX_BATCH = 512;

	private static final int IPV4_BYTES = 4;

	private final DatagramChannel channel;

	/** One byte larger than any digest, so that larger datagrams are noticed. */
	private final ByteBuffer received = ByteBuffer.allocate(DigestCodec.MAX_BYTES + 1);

	private PeerSocket(DatagramChannel channel) {
		this.channel = channel;
	}

	/**
	 * Opens a socket.
	 * @param address address on which it receives
	 * @return the socket
	 * @throws IOException if the address can't be used
	 */
	static PeerSocket bind(HostPort address) throws IOException {
		InetSocketAddress socketAddress = address.toSocketAddress();
		DatagramChannel channel = DatagramChannel.open((socketAddress.getAddress().getAddress().length == IPV4_BYTES)
				? StandardProtocolFamily.INET : StandardProtocolFamily.INET6);
		try {
			channel.configureBlocking(false);
			channel.bind(socketAddress);
			return new PeerSocket(channel);
		}
		catch (IOException | RuntimeException ex) {
			channel.close();
			throw ex;
		}
	}

	/**
	 * Returns the port on which this socket receives.
	 * @return the port
	 * @throws IOException if the socket is closed
	 */
	int port() throws IOException {
		return ((InetSocketAddress) this.channel.getLocalAddress()).getPort();
	}

	/**
	 * Reads all datagrams that have arrived.
	 * @param receiver called with each of them
	 */
	void receive(Receiver receiver) {
		try {
			for (int count = 0; count < MAX_BATCH; count++) {
				this.received.clear();
				SocketAddress sender = this.channel.receive(this.received);
				if (sender == null) {
					return;
				}
				receiver.onDatagram(this.received.array(), this.received.position(), (InetSocketAddress) sender);
			}
		}
		catch (IOException ex) {
			Logger.debug("can't receive digests: {}", ex.toString());
		}
	}

	/**
	 * Sends a datagram to several addresses.
	 * @param bytes the datagram
	 * @param targets the addresses
	 * @return number of datagrams that the operating system took
	 */
	int send(byte[] bytes, List<InetSocketAddress> targets) {
		ByteBuffer buffer = ByteBuffer.wrap(bytes);
		int sentCount = 0;
		for (InetSocketAddress target : targets) {
			buffer.rewind();
			try {
				sentCount += (this.channel.send(buffer, target) > 0) ? 1 : 0;
			}
			catch (IOException | IllegalArgumentException ex) {
				// An unreachable network or an address that can't be sent to.
				Logger.debug("can't send a digest to {}: {}", target, ex.toString());
			}
		}
		return sentCount;
	}

	@Override
	public void close() throws IOException {
		this.channel.close();
	}

	/**
	 * Receiver of datagrams.
	 */
	@FunctionalInterface
	interface Receiver {

		/**
		 * Called with a datagram.
		 * @param bytes buffer that begins with it, used again afterwards
		 * @param length number of its bytes
		 * @param sender address of its sender
		 */
		void onDatagram(byte[] bytes, int length, InetSocketAddress sender);

	}

}
