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

	private final ByteCollector bytes = new ByteCollector();

	private boolean finished;

	/**
	 * Adds bytes, unless the buffer is finished.
	 * @param received the bytes
	 */
	void add(ByteBuffer received) {
		if (!this.finished) {
			this.bytes.add(received);
		}
	}

	/**
	 * Discards everything that is added from now on.
	 */
	void finish() {
		this.finished = true;
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
	 * Takes all bytes.
	 * @return the bytes, may be empty
	 */
	ByteString take() {
		ByteString taken = this.bytes.toByteString();
		this.bytes.clear();
		return taken;
	}

}
