package org.marjoramgw.http;

/**
 * Search for the beginning of a second response in the bytes of a response: a status
 * line, and in a body also a header line after it whose value is the id of the request,
 * since a body may contain status lines. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class SecondResponseScan {

	private static final byte START = 'H';

	/** Digits and others stand for one character of their kind each. */
	private static final byte[] STATUS_LINE = { START, 'T', 'T', 'P', '/', '1', '.', '0', ' ', '0', '0', '0' };

	/** Bytes after a status line in which the id is searched for. */
	private static final int HEAD_BYTES = 4 << 10;

	private final byte[] idLine;

	private int statusMatched;

	private int idMatched;

	private int headBytesLeft;

	/**
	 * Creates a search.
	 * @param idLine end of a header line that has the id as its value; empty if the
	 * request has none
	 */
	SecondResponseScan(byte[] idLine) {
		this.idLine = idLine;
	}

	/**
	 * Searches in one more byte.
	 * @param next the byte
	 * @return whether a status line ends here
	 */
	boolean isStatusLine(byte next) {
		byte expected = STATUS_LINE[this.statusMatched];
		if ((expected == '0') ? next >= '0' && next <= '9' : next == expected) {
			this.statusMatched++;
		}
		else {
			this.statusMatched = (next == START) ? 1 : 0;
		}
		if (this.statusMatched < STATUS_LINE.length) {
			return false;
		}
		this.statusMatched = 0;
		return true;
	}

	/**
	 * Searches in further bytes of a body.
	 * @param bytes array that contains the bytes
	 * @param from position of the first
	 * @param to position behind the last
	 * @return whether a second response with the id of the request is certain
	 */
	boolean hasSecondResponse(byte[] bytes, int from, int to) {
		if (this.idLine.length == 0) {
			return false;
		}
		int position = from;
		while (position < to) {
			if (this.statusMatched == 0 && this.headBytesLeft == 0) {
				position = indexOfStart(bytes, position, to);
			}
			if (position < to && isSecondResponse(bytes[position])) {
				return true;
			}
			position++;
		}
		return false;
	}

	/**
	 * Finds where a status line may begin. The loop is kept short: nearly all received
	 * bytes go through it, in a process that has just started too.
	 * @param bytes array that contains the bytes
	 * @param from position of the first
	 * @param to position behind the last
	 * @return position of the first byte that may begin a status line, or {@code to}
	 */
	private static int indexOfStart(byte[] bytes, int from, int to) {
		int position = from;
		while (position < to && bytes[position] != START) {
			position++;
		}
		return position;
	}

	/**
	 * Searches in one more byte of a body.
	 * @param next the byte
	 * @return whether a second response with the id of the request is certain
	 */
	boolean isSecondResponse(byte next) {
		if (this.idLine.length == 0) {
			return false;
		}
		if (isStatusLine(next)) {
			this.headBytesLeft = HEAD_BYTES;
			this.idMatched = 0;
			return false;
		}
		if (this.headBytesLeft == 0) {
			return false;
		}
		this.headBytesLeft--;
		if (next == this.idLine[this.idMatched]) {
			this.idMatched++;
		}
		else {
			this.idMatched = (next == this.idLine[0]) ? 1 : 0;
		}
		return this.idMatched == this.idLine.length;
	}

	/**
	 * Tells whether a status line was found in a body whose id may follow.
	 * @return whether the next bytes may belong to a second response
	 */
	boolean mayBeInSecondResponse() {
		return this.headBytesLeft > 0;
	}

	/**
	 * Forgets what was found.
	 */
	void reset() {
		this.statusMatched = 0;
		this.headBytesLeft = 0;
	}

}
