package org.marjoramgw.http;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.stage.AbstractInOutHandler;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Stream stage in front of the socket that tells the connection when bytes of its request
 * are written and when the operating system has taken them.
 * <p>
 * The socket asks for more while it writes, until its buffer is full. So the last byte of
 * a long request is passed on by itself: the socket asks for more behind it once the
 * bytes before it were taken. Short requests count as taken at once.
 *
 * @author The marjoramgw authors
 */
final class RequestWriter extends ByteStage {

	/** Size of the socket's write buffer, which the last byte of a request fills. */
	static final int WRITE_BUFFER_BYTES = 1;

	/** Length from which on a request is long. */
	private static final int LONG_BYTES = 16 << 10;

	private final HttpConnection connection;

	RequestWriter(HttpConnection connection) {
		super("request");
		this.connection = connection;
	}

	@Override
	public GraphStageLogic createLogic(Attributes attributes) {
		return new Logic();
	}

	private final class Logic extends GraphStageLogic {

		private ByteString last = ByteString.emptyByteString();

		private Logic() {
			super(RequestWriter.this.shape());
			setHandlers(inlet(), outlet(), new Handler());
		}

		private final class Handler extends AbstractInOutHandler {

			@Override
			public void onPush() {
				ByteString bytes = grab(inlet());
				RequestWriter.this.connection.onWriting();
				Logic.this.last = (bytes.size() >= LONG_BYTES) ? bytes.takeRight(WRITE_BUFFER_BYTES)
						: ByteString.emptyByteString();
				push(outlet(), bytes.dropRight(Logic.this.last.size()));
			}

			@Override
			public void onPull() {
				if (Logic.this.last.isEmpty()) {
					RequestWriter.this.connection.onWritten();
					pull(inlet());
					return;
				}
				ByteString bytes = Logic.this.last;
				Logic.this.last = ByteString.emptyByteString();
				push(outlet(), bytes);
			}

			@Override
			public void onUpstreamFinish() {
				if (Logic.this.last.nonEmpty()) {
					emit(outlet(), Logic.this.last);
				}
				completeStage();
			}

		}

	}

}
