package org.marjoramgw.direct.forward;

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

	private long eventBytes;

	private boolean endsWithNewline;

	/**
	 * Checks the next bytes of the stream.
	 * @param bytes the bytes
	 * @throws ResponseTooLargeException if an event is too large
	 */
	void check(ByteString bytes) throws ResponseTooLargeException {
		int end = lastEventEnd(bytes);
		this.eventBytes = (end < 0) ? this.eventBytes + bytes.length() : bytes.length() - end;
		if (this.eventBytes > MAX_EVENT_BYTES) {
			throw new ResponseTooLargeException("event", MAX_EVENT_BYTES);
		}
		if (!bytes.isEmpty()) {
			this.endsWithNewline = bytes.apply(bytes.length() - 1) == '\n';
		}
	}

	private int lastEventEnd(ByteString bytes) {
		for (int index = bytes.length() - 1; index >= 0; index--) {
			// The empty line may be divided between two arrivals.
			boolean afterNewline = (index > 0) ? bytes.apply(index - 1) == '\n' : this.endsWithNewline;
			if (afterNewline && bytes.apply(index) == '\n') {
				return index + 1;
			}
		}
		return -1;
	}

}
