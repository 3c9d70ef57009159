package org.marjoramgw.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import org.apache.pekko.util.ByteString;

/**
 * Course of the bytes of one response, which tells where it ends; not thread-safe.
 * <p>
 * A response whose end isn't certain never counts as complete, so that its connection is
 * not used again.
 *
 * @author The marjoramgw authors
 */
final class ResponseFrame {

	/** Longest line of a head or chunk size for which the end of a response is found. */
	private static final int MAX_LINE_BYTES = 16 << 10;

	private static final Pattern CHUNK_SIZE = Pattern.compile("[0-9a-fA-F]{1,15}");

	private final StringBuilder line = new StringBuilder();

	private final ResponseHead head;

	private final SecondResponseScan scan;

	private Part part = Part.HEAD;

	private long remainingBytes;

	/** Bytes of the last call that belong to a head; they are the first ones. */
	private int headBytes;

	/**
	 * Creates the course of a response.
	 * @param noBody whether the response has no body whatever its head says
	 * @param requestId id of the request, one character for each byte; may be empty
	 */
	ResponseFrame(boolean noBody, String requestId) {
		this.head = new ResponseHead(noBody);
		this.scan = new SecondResponseScan(
				(requestId.isEmpty() ? "" : ": " + requestId + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
	}

	/**
	 * Tells whether the whole response was received and its end is certain.
	 * @return whether it is complete
	 */
	boolean isComplete() {
		return this.part == Part.COMPLETE;
	}

	/**
	 * Follows received bytes.
	 * @param bytes the bytes
	 * @return number of them that belong to the response
	 * @throws IOException if a second response begins inside this one, or its head or
	 * chunks are spoilt, so that its length isn't certain
	 */
	int accept(ByteString bytes) throws IOException {
		this.headBytes = 0;
		if (isComplete()) {
			return 0;
		}
		byte[] received = bytes.toArrayUnsafe();
		int position = 0;
		while (position < received.length && !isComplete()) {
			position += switch (this.part) {
				case HEAD, CHUNK_SIZE, CHUNK_END, TRAILER -> acceptLineByte(received[position]);
				default -> acceptBody(received, position);
			};
		}
		if (position < received.length && this.scan.mayBeInSecondResponse()) {
			throw new IOException("end of a second response behind a response");
		}
		return position;
	}

	/**
	 * Converts the bytes that were accepted last for the parser, which would misread
	 * bytes of a head beyond ASCII.
	 * @param accepted the bytes, without those that don't belong to the response
	 * @return bytes for the parser
	 */
	ByteString toParser(ByteString accepted) {
		if (this.headBytes == 0) {
			return accepted;
		}
		ByteString head = accepted.take(this.headBytes);
		ByteString parsed = HeaderText.toParser(head);
		return (parsed == head) ? accepted : parsed.concat(accepted.drop(this.headBytes));
	}

	/**
	 * Follows bytes of a body. Most of what is received are such bytes, so they aren't
	 * followed one by one.
	 * @param received received bytes
	 * @param from position of the first that wasn't followed yet
	 * @return number of bytes that were followed
	 * @throws IOException if a second response begins inside the body
	 */
	private int acceptBody(byte[] received, int from) throws IOException {
		int count = received.length - from;
		if (this.part != Part.UNKNOWN) {
			count = (int) Math.min(count, this.remainingBytes);
			this.remainingBytes -= count;
		}
		if (this.scan.hasSecondResponse(received, from, from + count)) {
			throw insideResponse();
		}
		if (this.part != Part.UNKNOWN && this.remainingBytes == 0) {
			this.part = (this.part == Part.BODY) ? Part.COMPLETE : Part.CHUNK_END;
		}
		return count;
	}

	private int acceptLineByte(byte next) throws IOException {
		boolean second;
		if (this.part == Part.HEAD) {
			this.headBytes++;
			second = this.scan.isStatusLine(next) && this.head.hasStatusLine(this.line);
		}
		else {
			second = this.scan.isSecondResponse(next);
		}
		if (second) {
			throw insideResponse();
		}
		if (next == '\n') {
			endLine();
		}
		else {
			this.line.append((char) (next & 0xff));
			this.part = (this.line.length() > MAX_LINE_BYTES) ? Part.UNKNOWN : this.part;
		}
		return 1;
	}

	private static IOException insideResponse() {
		return new IOException("second response inside a response");
	}

	private void endLine() throws IOException {
		int length = this.line.length();
		if (length > 0 && this.line.charAt(length - 1) == '\r') {
			this.line.setLength(length - 1);
		}
		String text = this.line.toString();
		this.line.setLength(0);
		this.part = partAfter(text);
	}

	private Part partAfter(String text) throws IOException {
		return switch (this.part) {
			case HEAD -> text.isEmpty() ? partAfterHead() : partAfterHeadLine(text);
			case CHUNK_SIZE -> partAfterChunkSize(text);
			case CHUNK_END -> partAfterChunk(text);
			default -> text.isEmpty() ? Part.COMPLETE : Part.TRAILER;
		};
	}

	private Part partAfterHeadLine(String text) {
		this.head.add(text);
		return Part.HEAD;
	}

	private Part partAfterHead() throws IOException {
		this.scan.reset();
		ResponseHead.Framing framing = this.head.end();
		this.remainingBytes = this.head.lengthBytes();
		return switch (framing) {
			case INFORMATIONAL -> Part.HEAD;
			case NO_BODY -> Part.COMPLETE;
			case LENGTH -> (this.remainingBytes == 0) ? Part.COMPLETE : Part.BODY;
			case CHUNKED -> Part.CHUNK_SIZE;
			case UNKNOWN -> Part.UNKNOWN;
			case SPOILT -> throw new IOException("spoilt head of a response");
		};
	}

	private static Part partAfterChunk(String text) throws IOException {
		if (!text.isEmpty()) {
			throw new IOException("bytes behind a chunk");
		}
		return Part.CHUNK_SIZE;
	}

	private Part partAfterChunkSize(String text) throws IOException {
		int extension = text.indexOf(';');
		String size = ((extension < 0) ? text : text.substring(0, extension)).trim();
		if (!CHUNK_SIZE.matcher(size).matches()) {
			throw new IOException("spoilt size of a chunk");
		}
		this.remainingBytes = Long.parseLong(size, 16);
		return (this.remainingBytes == 0) ? Part.TRAILER : Part.CHUNK;
	}

	private enum Part {

		HEAD, BODY, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILER, UNKNOWN, COMPLETE

	}

}
