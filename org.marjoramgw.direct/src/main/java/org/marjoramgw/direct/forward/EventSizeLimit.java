package org.marjoramgw.direct.forward;

import java.nio.ByteBuffer;

import org.apache.pekko.util.ByteString;
import org.marjoramgw.errors.ResponseTooLargeException;

/**
 * Limit of the size of an event in a stream. A server that sends bytes without an end of
 * an event has failed. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class EventSizeLimit {

	private static final long MAX_EVENT_BYTES = 256 << 10;

	private final EventBoundary boundary = new EventBoundary();

	private long eventBytes;

	/**
	 * Checks the next bytes of the stream.
	 * @param bytes the bytes
	 * @throws ResponseTooLargeException if an event is too large
	 */
	void check(ByteString bytes) throws ResponseTooLargeException {
		ByteBuffer buffer = bytes.asByteBuffer();
		while (buffer.hasRemaining()) {
			this.eventBytes = this.boundary.isEnd(buffer.get()) ? 0 : this.eventBytes + 1;
			if (this.eventBytes > MAX_EVENT_BYTES) {
				throw new ResponseTooLargeException("event", MAX_EVENT_BYTES);
			}
		}
	}

}
