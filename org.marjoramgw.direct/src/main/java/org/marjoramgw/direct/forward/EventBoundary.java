package org.marjoramgw.direct.forward;

/**
 * Finds the ends of events in a stream: an empty line, with or without carriage returns.
 * Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class EventBoundary {

	private boolean lineIsEmpty;

	/**
	 * Takes the next byte of the stream.
	 * @param next the byte
	 * @return whether it is the last one of an event
	 */
	boolean isEnd(byte next) {
		if (next == '\n') {
			boolean end = this.lineIsEmpty;
			this.lineIsEmpty = true;
			return end;
		}
		if (next != '\r') {
			this.lineIsEmpty = false;
		}
		return false;
	}

}
