package org.marjoramgw.direct.socket;

import java.nio.ByteBuffer;

import org.apache.pekko.util.ByteString;
import org.marjoramgw.http.ByteCollector;

/**
 * Bytes that were read from a socket and not taken yet. Not thread-safe; guarded by the
 * lock of its socket.
 *
 * @author The marjoramgw authors
 */
final class ReadAheadBuffer {

	/** Length at which reading from the socket is suspended. */
	private static final int MAX_BYTES = 128 << 10;

	private final SocketMemory memory;

	private final ByteCollector bytes = new ByteCollector();

	private long occupiedBytes;

	private boolean finished;

	ReadAheadBuffer(SocketMemory memory) {
		this.memory = memory;
	}

	/**
	 * Tells whether more bytes may be added, as far as there is memory for them.
	 * @return whether they may; if not, there is a retry when there may be memory
	 */
	boolean mayAdd() {
		return this.finished || !isFull() && this.memory.mayGrow();
	}

	/**
	 * Adds bytes, unless the buffer is finished.
	 * @param received the bytes
	 */
	void add(ByteBuffer received) {
		if (!this.finished) {
			this.occupiedBytes += this.bytes.add(received);
			this.memory.onReceived(this.occupiedBytes);
		}
	}

	/**
	 * Discards everything that is added from now on.
	 */
	void finish() {
		this.finished = true;
	}

	/**
	 * Discards all bytes, also what is added from now on.
	 */
	void discard() {
		finish();
		clear();
		this.memory.onDiscarded();
	}

	boolean isFinished() {
		return this.finished;
	}

	boolean isEmpty() {
		return this.bytes.length() == 0;
	}

	boolean isFull() {
		return this.bytes.length() >= MAX_BYTES;
	}

	int length() {
		return this.bytes.length();
	}

	/**
	 * Returns the bytes without taking them.
	 * @return the bytes, may be empty
	 */
	ByteString peek() {
		return this.bytes.toByteString();
	}

	/**
	 * Tells whether the bytes may be taken, as far as there is memory for them.
	 * @return whether they may; if not, there is a retry when there may be memory
	 */
	boolean mayTake() {
		return isEmpty() || this.memory.mayGrow();
	}

	/**
	 * Takes all bytes.
	 * @return the bytes, may be empty
	 */
	ByteString take() {
		ByteString taken = this.bytes.toByteString();
		if (!taken.isEmpty()) {
			this.memory.onTaken(this.occupiedBytes);
			clear();
		}
		return taken;
	}

	private void clear() {
		this.bytes.clear();
		this.occupiedBytes = 0;
	}

}
