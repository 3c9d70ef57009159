package org.marjoramgw.http;

import org.apache.pekko.util.ByteString;

/**
 * Follows where the chunks of a request body begin and end, and measures what stands
 * between them. The HTTP library parses incomplete chunk sizes and trailers again with
 * each piece that it gets, which takes the processor for a minute if they are long. Not
 * thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class FramingScan {

	/**
	 * Bytes between chunks that are allowed in a body whose beginning was not found, as a
	 * multiple of the limit otherwise, since they may be a part of a chunk.
	 */
	private static final int UNSCANNED_FACTOR = 32;

	private State state = State.HEAD;

	/** Length of the line or, in the head and in trailers, of all lines so far. */
	private int framingBytes;

	private int lineBytes;

	private long dataBytes;

	private boolean chunked;

	private ByteString behindHead = ByteString.emptyByteString();

	/**
	 * Starts to look for the end of a request head.
	 */
	public void startHead() {
		this.state = State.HEAD;
		this.framingBytes = 0;
		this.lineBytes = 0;
		this.behindHead = ByteString.emptyByteString();
	}

	/**
	 * Starts the body of the request whose head was found.
	 * @param chunked whether it comes in chunks
	 */
	public void startBody(boolean chunked) {
		if (chunked) {
			startChunks();
		}
		else {
			this.state = State.NONE;
			this.behindHead = ByteString.emptyByteString();
		}
	}

	/**
	 * Starts a body of known length of the request whose head was found. The next head is
	 * looked for behind it.
	 * @param length length, in bytes
	 */
	public void startBody(long length) {
		if (this.state != State.BEHIND_HEAD) {
			startBody(false);
			return;
		}
		ByteString first = this.behindHead;
		startHead();
		this.chunked = false;
		this.dataBytes = length;
		this.state = (length > 0) ? State.DATA : State.HEAD;
		add(first);
	}

	/**
	 * Tells whether the next byte is the first one of a head, or of an empty line before
	 * it.
	 * @return whether it is
	 */
	public boolean isBetweenRequests() {
		return this.state == State.HEAD && this.framingBytes == 0;
	}

	/**
	 * Scans bytes.
	 * @param bytes the next bytes of the connection
	 */
	public void add(ByteString bytes) {
		int position = 0;
		while (position < bytes.size() && this.state.scanned) {
			position = (this.state == State.DATA) ? skipData(position, bytes.size()) : scan(bytes, position);
		}
		if (this.state == State.BEHIND_HEAD) {
			this.behindHead = this.behindHead.concat(bytes.drop(position));
		}
		else if (this.state == State.UNSCANNED) {
			this.framingBytes += bytes.size();
		}
	}

	/**
	 * Takes note of a chunk that was read.
	 */
	public void onChunk() {
		if (this.state == State.UNSCANNED) {
			this.framingBytes = 0;
		}
	}

	/**
	 * Tells whether a chunk extension or the trailers are too long.
	 * @param maxBytes maximum length, in bytes
	 * @return whether they are longer
	 */
	public boolean isOver(int maxBytes) {
		return switch (this.state) {
			case SIZE, EXTENSION, TRAILERS -> this.framingBytes > maxBytes;
			case UNSCANNED -> this.framingBytes > maxBytes * UNSCANNED_FACTOR;
			default -> false;
		};
	}

	private int skipData(int position, int end) {
		int skipped = (int) Math.min(end - position, this.dataBytes);
		this.dataBytes -= skipped;
		if (this.dataBytes == 0 && this.chunked) {
			startSize();
		}
		else if (this.dataBytes == 0) {
			startHead();
		}
		return position + skipped;
	}

	private int scan(ByteString bytes, int position) {
		byte next = bytes.apply(position);
		this.framingBytes++;
		if (next == '\n') {
			endLine();
		}
		else if (next != '\r') {
			this.lineBytes++;
			if (this.state == State.SIZE) {
				addToSize(next);
			}
		}
		return position + 1;
	}

	private void addToSize(byte next) {
		int digit = Character.digit(next, 16);
		if (digit < 0 || this.dataBytes > Integer.MAX_VALUE) {
			this.state = (this.lineBytes > 1) ? State.EXTENSION : State.NONE;
			return;
		}
		this.dataBytes = this.dataBytes * 16 + digit;
	}

	private void endLine() {
		boolean empty = this.lineBytes == 0;
		this.lineBytes = 0;
		switch (this.state) {
			case HEAD -> {
				// Empty lines before the request are ignored.
				if (empty && this.framingBytes > 2) {
					this.state = State.BEHIND_HEAD;
				}
				else if (empty) {
					this.framingBytes = 0;
				}
			}
			case SIZE, EXTENSION -> {
				if (!empty) {
					this.framingBytes = 0;
					this.state = (this.dataBytes > 0) ? State.DATA : State.TRAILERS;
				}
			}
			default -> {
				if (empty) {
					startHead();
				}
			}
		}
	}

	private void startChunks() {
		ByteString first = this.behindHead;
		this.behindHead = ByteString.emptyByteString();
		this.chunked = true;
		if (this.state != State.BEHIND_HEAD) {
			// The head may have come together with the request before it.
			this.state = State.UNSCANNED;
			this.framingBytes = 0;
			return;
		}
		startSize();
		add(first);
	}

	private void startSize() {
		this.state = State.SIZE;
		this.framingBytes = 0;
		this.lineBytes = 0;
		this.dataBytes = 0;
	}

	private enum State {

		HEAD(true), BEHIND_HEAD(false), SIZE(true), EXTENSION(true), DATA(true), TRAILERS(true), UNSCANNED(false),
		NONE(false);

		private final boolean scanned;

		State(boolean scanned) {
			this.scanned = scanned;
		}

	}

}
