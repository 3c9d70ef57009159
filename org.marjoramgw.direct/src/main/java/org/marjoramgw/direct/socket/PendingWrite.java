package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

import org.apache.pekko.util.ByteString;

/**
 * Write to a socket that may take several attempts; thread-safe.
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
	 * @param whenWritten called when the bytes were written or discarded, unless they are
	 * written immediately
	 * @return whether the bytes were written immediately
	 * @throws IOException if the connection failed
	 */
	synchronized boolean start(ByteString bytes, Runnable whenWritten) throws IOException {
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
	 * @throws IOException if the connection failed
	 */
	void resume() throws IOException {
		Runnable action;
		synchronized (this) {
			this.channel.write(this.unwritten);
			action = isPending() ? NO_ACTION : takeAction();
		}
		action.run();
	}

	/**
	 * Discards the bytes that are not written yet. The writer is notified, and fails if
	 * it writes again.
	 */
	void discard() {
		Runnable action;
		synchronized (this) {
			this.unwritten = ByteBuffer.allocate(0);
			action = takeAction();
		}
		action.run();
	}

	synchronized boolean isPending() {
		return this.unwritten.hasRemaining();
	}

	// Actions run outside the lock because they acquire locks of their own.
	private Runnable takeAction() {
		Runnable action = this.onWritten;
		this.onWritten = NO_ACTION;
		return action;
	}

}
