package org.marjoramgw.direct.forward;

import java.nio.ByteBuffer;

import org.apache.pekko.util.ByteString;
import org.marjoramgw.errors.ResponseTooLargeException;

/**
 * Counts the events of a stream and measures the one that it is in, in pieces of any
 * size. A server that sends bytes without an end of an event has failed, and so has one
 * whose stream ends inside an event. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class EventMeter {

	private static final long MAX_EVENT_BYTES = 256 << 10;

	private final EventBoundary boundary = new EventBoundary();

	private long eventBytes;

	private boolean hasContent;

	private long count;

	/**
	 * Takes the next bytes of the stream.
	 * @param bytes the bytes
	 * @throws ResponseTooLargeException if an event is too large
	 */
	void add(ByteString bytes) throws ResponseTooLargeException {
		ByteBuffer buffer = bytes.asByteBuffer();
		while (buffer.hasRemaining()) {
			add(buffer.get());
		}
	}

	private void add(byte next) throws ResponseTooLargeException {
		this.hasContent |= next != '\n' && next != '\r';
		this.eventBytes++;
		if (this.boundary.isEnd(next)) {
			this.count += this.hasContent ? 1 : 0;
			this.eventBytes = 0;
			this.hasContent = false;
		}
		else if (this.eventBytes > MAX_EVENT_BYTES) {
			throw new ResponseTooLargeException("event", MAX_EVENT_BYTES);
		}
	}

	/**
	 * Returns the number of complete events.
	 * @return the number, without those that are only empty lines
	 */
	long count() {
		return this.count;
	}

	/**
	 * Tells whether bytes came after the last complete event.
	 * @return whether the stream is inside an event
	 */
	boolean isInsideEvent() {
		return this.eventBytes > 0;
	}

}
