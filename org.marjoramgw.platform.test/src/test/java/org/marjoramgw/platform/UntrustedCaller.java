package org.marjoramgw.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.marjoramgw.program.Pause;

/**
 * What callers send that do not respect the limits, or that stop short of the end.
 *
 * @author The marjoramgw authors
 */
enum UntrustedCaller {

	/** A complete head of 64 KB. */
	HEAD_OVER_LIMIT {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD);
			writeHeaderLines(out, 64 << 10);
			write(out, "\r\n");
		}

	},

	/** A head that consists of one line without end. */
	HEAD_IN_ONE_LINE {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD + "X-A: ");
			for (int sentBytes = 0; sentBytes < ENDLESS_BYTES; sentBytes += PIECE.length()) {
				write(out, PIECE);
			}
		}

	},

	/** A head of many lines without end, each of legal length. */
	HEAD_IN_MANY_LINES {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD);
			writeHeaderLines(out, ENDLESS_BYTES);
		}

	},

	/** A head without end, a byte at a time. */
	HEAD_BYTE_BY_BYTE {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD + "X-A: ");
			trickle(out, "a");
		}

	},

	/** Empty lines without end, first as fast as possible, then a few a second. */
	EMPTY_LINES {

		@Override
		void send(OutputStream out) throws IOException {
			for (int sentBytes = 0; sentBytes < ENDLESS_BYTES; sentBytes += PIECE.length()) {
				write(out, "\r\n".repeat(PIECE.length() / 2));
			}
			trickle(out, "\r\n");
		}

	},

	/** A complete request of the largest legal size. */
	BODY_WHOLE {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n");
			writePieces(out, MAX_BODY_BYTES);
		}

	},

	/** A body of the largest legal size but its last byte. */
	BODY_SHORT_OF_ITS_END {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD + "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n");
			writePieces(out, MAX_BODY_BYTES - 1);
		}

	},

	/** One chunk of the largest legal size but its last byte. */
	LARGE_CHUNK {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(MAX_BODY_BYTES) + "\r\n");
			writePieces(out, MAX_BODY_BYTES - 1);
		}

	},

	/** Chunks of one byte, without the last one. */
	SMALL_CHUNKS {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD + "Transfer-Encoding: chunked\r\n\r\n");
			for (int sentBytes = 0; sentBytes < MAX_BODY_BYTES / 16; sentBytes += 1_000) {
				write(out, "1\r\na\r\n".repeat(1_000));
			}
		}

	},

	/** A chunk extension without end. */
	CHUNK_EXTENSION {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD + "Transfer-Encoding: chunked\r\n\r\n1;");
			writePieces(out, ENDLESS_BYTES);
		}

	},

	/** Trailers without end. */
	TRAILERS {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n");
			writeHeaderLines(out, ENDLESS_BYTES);
		}

	},

	/** A large answer that is not read. */
	ANSWER_UNREAD {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD.replace("/long-book/1", "/long-book/large") + "Content-Length: 0\r\n\r\n");
		}

	},

	/** A stream without end that is not read. */
	STREAM_UNREAD {

		@Override
		void send(OutputStream out) throws IOException {
			write(out, HEAD.replace("/long-book/1", "/long-stream/endless") + "Content-Length: 0\r\n\r\n");
		}

	};

	static final int MAX_BODY_BYTES = 4 << 20;

	/** More than the limits allow to be sent as anything but a body. */
	private static final int ENDLESS_BYTES = 2 * MAX_BODY_BYTES;

	private static final String HEAD = "POST /long-book/1 HTTP/1.1\r\nHost: carob.example\r\n"
			+ "Authorization: Token key-1\r\nX-Request-Id: r2\r\n";

	private static final String PIECE = "a".repeat(15_000);

	/**
	 * Sends what this kind of caller sends before it waits.
	 * @param out the connection
	 * @throws IOException if the entry closes the connection
	 */
	abstract void send(OutputStream out) throws IOException;

	/**
	 * Tells whether it sends a head that is never complete.
	 * @return whether its connection has to be closed, however slowly it sends
	 */
	boolean isEndlessHead() {
		return this == HEAD_IN_ONE_LINE || this == HEAD_IN_MANY_LINES || this == HEAD_BYTE_BY_BYTE
				|| this == EMPTY_LINES;
	}

	/**
	 * Sends until it is done or the entry closes the connection.
	 * @param connection the connection, which stays open
	 */
	void sendAll(Socket connection) {
		try {
			send(connection.getOutputStream());
		}
		catch (IOException ex) {
			// The entry may refuse or close it.
		}
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static void writePieces(OutputStream out, int bytes) throws IOException {
		for (int leftBytes = bytes; leftBytes > 0; leftBytes -= PIECE.length()) {
			write(out, PIECE.substring(0, Math.min(leftBytes, PIECE.length())));
		}
	}

	private static void writeHeaderLines(OutputStream out, int bytes) throws IOException {
		for (int sentBytes = 0; sentBytes < bytes; sentBytes += PIECE.length()) {
			write(out, "X-" + sentBytes + ": " + PIECE + "\r\n");
		}
	}

	private static void trickle(OutputStream out, String text) throws IOException {
		while (true) {
			write(out, text);
			Pause.millis(50);
		}
	}

}
