package org.marjoramgw.direct.forward;

import java.nio.ByteBuffer;

import org.apache.pekko.util.ByteString;
import org.marjoramgw.errors.ResponseTooLargeException;

/**
 * Measures the event that a stream is in. A server that sends bytes without an end of an
 * event has failed, and so has one whose stream ends inside an event. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class EventMeter {

	private static final long MAX_EVENT_BYTES = 256 << 10;

	private final EventBoundary boundary = new EventBoundary();

	private long eventBytes;

	/**
	 * Takes the next bytes of the stream.
	 * @param bytes the bytes
	 * @throws ResponseTooLargeException if an event is too large
	 */
	void add(ByteString bytes) throws ResponseTooLargeException {
		ByteBuffer buffer = bytes.asByteBuffer();
		while (buffer.hasRemaining()) {
			this.eventBytes = this.boundary.isEnd(buffer.get()) ? 0 : this.eventBytes + 1;
			if (this.eventBytes > MAX_EVENT_BYTES) {
				throw new ResponseTooLargeException("event", MAX_EVENT_BYTES);
			}
		}
	}

	/**
	 * Tells whether bytes came after the last complete event.
	 * @return whether the stream is inside an event
	 */
	boolean isInsideEvent() {
		return this.eventBytes > 0;
	}

}
