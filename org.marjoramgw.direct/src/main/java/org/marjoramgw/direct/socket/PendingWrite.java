package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

import org.apache.pekko.util.ByteString;

/**
 * Write to a socket that may take several attempts. Not thread-safe; guarded by the lock
 * of its socket.
 *
 * @author The marjoramgw authors
 */
final class PendingWrite {

	private static final Runnable NO_ACTION = () -> {
	};

	private final SocketChannel channel;

	private ByteBuffer unwritten = ByteBuffer.allocate(0);

	private Runnable onWritten = NO_ACTION;

	PendingWrite(SocketChannel channel) {
		this.channel = channel;
	}

	/**
	 * Starts to write. The write before must have ended.
	 * @param bytes the bytes
	 * @param whenWritten returned by {@link #resume()} or {@link #discard()}, unless the
	 * bytes are written immediately
	 * @return whether the bytes were written immediately
	 * @throws IOException if the connection failed
	 */
	boolean start(ByteString bytes, Runnable whenWritten) throws IOException {
		this.unwritten = bytes.toByteBuffer();
		this.channel.write(this.unwritten);
		if (!isPending()) {
			return true;
		}
		this.onWritten = whenWritten;
		return false;
	}

	/**
	 * Writes what the socket takes now.
	 * @return action to run without the lock, which does nothing if bytes remain
	 * @throws IOException if the connection failed
	 */
	Runnable resume() throws IOException {
		this.channel.write(this.unwritten);
		return isPending() ? NO_ACTION : takeAction();
	}

	/**
	 * Discards the bytes that are not written yet.
	 * @return action to run without the lock
	 */
	Runnable discard() {
		this.unwritten = ByteBuffer.allocate(0);
		return takeAction();
	}

	boolean isPending() {
		return this.unwritten.hasRemaining();
	}

	private Runnable takeAction() {
		Runnable action = this.onWritten;
		this.onWritten = NO_ACTION;
		return action;
	}

}
