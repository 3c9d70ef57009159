package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Collections;
import java.util.Iterator;

import org.apache.pekko.util.ByteString;

/**
 * Write to a socket that may take several attempts; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class PendingWrite {

	private static final Runnable NO_ACTION = () -> {
	};

	/**
	 * Length of the pieces that are written. The class library keeps a direct buffer of
	 * the length of the largest one for each thread that writes.
	 */
	private static final int MAX_PIECE_BYTES = 64 << 10;

	private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

	private final SocketChannel channel;

	private final SocketMemory memory;

	private Iterator<ByteBuffer> laterBuffers = Collections.emptyIterator();

	private ByteBuffer buffer = EMPTY;

	private ByteBuffer piece = EMPTY;

	private int unwrittenBytes;

	private Runnable onWritten = NO_ACTION;

	PendingWrite(SocketChannel channel, SocketMemory memory) {
		this.channel = channel;
		this.memory = memory;
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
		this.unwrittenBytes = bytes.size();
		if (this.unwrittenBytes <= MAX_PIECE_BYTES) {
			this.piece = bytes.toByteBuffer();
		}
		else {
			this.laterBuffers = bytes.getByteBuffers().iterator();
		}
		write();
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
			write();
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
			this.unwrittenBytes = 0;
			release();
			this.memory.onUnwritten(0);
			action = takeAction();
		}
		action.run();
	}

	synchronized boolean isPending() {
		return this.unwrittenBytes > 0;
	}

	private void write() throws IOException {
		int before = this.unwrittenBytes;
		boolean writable = true;
		while (writable && nextPiece()) {
			this.unwrittenBytes -= this.channel.write(this.piece);
			writable = !this.piece.hasRemaining();
		}
		if (this.unwrittenBytes == 0) {
			release();
		}
		this.memory.onUnwritten(this.unwrittenBytes);
		if (this.unwrittenBytes < before) {
			this.memory.onWritten();
		}
	}

	/**
	 * Releases the bytes; a caller may keep its connection for long without a request.
	 */
	private void release() {
		this.laterBuffers = Collections.emptyIterator();
		this.buffer = EMPTY;
		this.piece = EMPTY;
	}

	private boolean nextPiece() {
		if (this.piece.hasRemaining()) {
			return true;
		}
		while (!this.buffer.hasRemaining() && this.laterBuffers.hasNext()) {
			this.buffer = this.laterBuffers.next();
		}
		int length = Math.min(this.buffer.remaining(), MAX_PIECE_BYTES);
		this.piece = this.buffer.slice(this.buffer.position(), length);
		this.buffer.position(this.buffer.position() + length);
		return length > 0;
	}

	// Actions run outside the lock because they acquire locks of their own.
	private Runnable takeAction() {
		Runnable action = this.onWritten;
		this.onWritten = NO_ACTION;
		return action;
	}

}
