package org.marjoramgw.http;

import java.io.IOException;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.stage.AbstractInOutHandler;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.errors.ResponseTooLargeException;

/**
 * Stream stage in front of the response parser that fails if the server sends too many
 * bytes before the head of its final response is complete, or if the connection ends
 * where that isn't certain to be the end of the response.
 * <p>
 * Informational responses are passed on in small pieces: the parser calls itself for each
 * of them in a piece, so that many could overflow the stack.
 *
 * @author The marjoramgw authors
 */
final class ResponseHeadLimiter extends ByteStage {

	/** Bytes after which the head of a response must be complete. */
	static final int MAX_HEAD_BYTES = 64 << 10;

	/** Size of the pieces in which informational responses are passed on. */
	private static final int PIECE_BYTES = 256;

	/** Position of the first digit of the status, after the version and a space. */
	private static final int STATUS_OFFSET = 9;

	private final HttpConnection connection;

	ResponseHeadLimiter(HttpConnection connection) {
		super("head");
		this.connection = connection;
	}

	@Override
	public GraphStageLogic createLogic(Attributes attributes) {
		return new Logic();
	}

	private final class Logic extends GraphStageLogic {

		private ByteString rest = ByteString.emptyByteString();

		private int requestNumber;

		private int headBytes;

		private Logic() {
			super(ResponseHeadLimiter.this.shape());
			setHandlers(inlet(), outlet(), new Handler());
		}

		private ByteString takePiece() throws ResponseTooLargeException {
			int pieceBytes = this.rest.size();
			if (ResponseHeadLimiter.this.connection.isAwaitingHead()) {
				pieceBytes = takeHeadBytes(pieceBytes);
			}
			ByteString piece = this.rest.take(pieceBytes);
			this.rest = this.rest.drop(pieceBytes);
			return piece;
		}

		/**
		 * Counts bytes of an outstanding head.
		 * @param availableBytes number of bytes that can be passed on
		 * @return number of bytes to pass on now
		 * @throws ResponseTooLargeException if the head should have ended before
		 */
		private int takeHeadBytes(int availableBytes) throws ResponseTooLargeException {
			int number = ResponseHeadLimiter.this.connection.requestCount();
			if (number != this.requestNumber) {
				this.requestNumber = number;
				this.headBytes = 0;
			}
			if (this.headBytes >= MAX_HEAD_BYTES) {
				throw new ResponseTooLargeException("head of a response", MAX_HEAD_BYTES);
			}
			int pieceBytes = startsFinalResponse() ? availableBytes : Math.min(availableBytes, PIECE_BYTES);
			this.headBytes += pieceBytes;
			return pieceBytes;
		}

		private boolean startsFinalResponse() {
			return this.headBytes == 0 && this.rest.size() > STATUS_OFFSET && this.rest.apply(STATUS_OFFSET) >= '2'
					&& this.rest.apply(STATUS_OFFSET) <= '5';
		}

		private void pushPiece() {
			try {
				push(outlet(), takePiece());
				if (this.rest.isEmpty() && isClosed(inlet())) {
					completeStage();
				}
			}
			catch (ResponseTooLargeException ex) {
				failStage(ex);
			}
		}

		private final class Handler extends AbstractInOutHandler {

			@Override
			public void onPush() {
				Logic.this.rest = grab(inlet());
				pushPiece();
			}

			@Override
			public void onPull() {
				if (Logic.this.rest.isEmpty()) {
					pull(inlet());
				}
				else {
					pushPiece();
				}
			}

			@Override
			public void onUpstreamFinish() {
				if (!ResponseHeadLimiter.this.connection.mayEndResponse()) {
					failStage(new IOException("connection ended while the request was being written"));
				}
				else if (Logic.this.rest.isEmpty()) {
					completeStage();
				}
			}

		}

	}

}
