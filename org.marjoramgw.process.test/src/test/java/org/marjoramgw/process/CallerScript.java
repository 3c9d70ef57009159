package org.marjoramgw.process;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * What a connection sends: a start, and then a pattern that is repeated.
 *
 * @param name name of the script in reports
 * @param start bytes sent first
 * @param pattern bytes that are repeated after them; never empty
 * @param patternBytes number of bytes of the repeated pattern that are sent
 * @param pieceBytes largest number of bytes sent at a time
 * @param pauseMillis pause between pieces, in milliseconds
 * @param reads whether the caller reads what it is sent
 * @author The marjoramgw authors
 */
record CallerScript(String name, byte[] start, byte[] pattern, long patternBytes, int pieceBytes, long pauseMillis,
		boolean reads) {

	/** Piece size of a caller that sends as fast as it can. */
	private static final int LARGE_PIECE_BYTES = 65_536;

	/**
	 * Creates a script of a caller that sends as fast as it can and reads the response.
	 * @param name name of the script
	 * @param start bytes sent first
	 * @param pattern bytes that are repeated after them
	 * @param patternBytes number of bytes of the repeated pattern
	 * @return the script
	 */
	static CallerScript of(String name, String start, String pattern, long patternBytes) {
		return new CallerScript(name, bytes(start), bytes(pattern.repeat(1 + LARGE_PIECE_BYTES / pattern.length())),
				patternBytes, LARGE_PIECE_BYTES, 0, true);
	}

	CallerScript inPieces(int bytes, long pauseMillis) {
		return new CallerScript(this.name, this.start, this.pattern, this.patternBytes, bytes, pauseMillis, this.reads);
	}

	CallerScript withoutReading() {
		return new CallerScript(this.name, this.start, this.pattern, this.patternBytes, this.pieceBytes,
				this.pauseMillis, false);
	}

	long length() {
		return this.start.length + this.patternBytes;
	}

	/**
	 * Returns the next bytes to send.
	 * @param sentBytes number of bytes sent so far
	 * @return at least one byte if the script isn't sent completely
	 */
	ByteBuffer piece(long sentBytes) {
		if (sentBytes < this.start.length) {
			int offset = (int) sentBytes;
			return ByteBuffer.wrap(this.start, offset, Math.min(this.pieceBytes, this.start.length - offset));
		}
		long sentPattern = sentBytes - this.start.length;
		int offset = (int) (sentPattern % this.pattern.length);
		long remaining = Math.min(this.patternBytes - sentPattern, this.pattern.length - offset);
		return ByteBuffer.wrap(this.pattern, offset, (int) Math.min(this.pieceBytes, remaining));
	}

	@Override
	public String toString() {
		return this.name;
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
