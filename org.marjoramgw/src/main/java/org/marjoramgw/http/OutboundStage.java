package org.marjoramgw.http;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Passes bytes on to the socket in small pieces, so that the connection notices whether
 * the caller reads them.
 *
 * @author The marjoramgw authors
 */
final class OutboundStage extends ByteStage {

	private static final int PIECE_BYTES = 16 << 10;

	private final ServedConnection connection;

	OutboundStage(ServedConnection connection) {
		super("caller-outbound");
		this.connection = connection;
	}

	@Override
	public GraphStageLogic createLogic(Attributes attributes) {
		return new Logic();
	}

	private final class Logic extends GraphStageLogic {

		private ByteString pending = ByteString.emptyByteString();

		Logic() {
			super(shape());
			setHandler(inlet(), new AbstractInHandler() {

				@Override
				public void onPush() {
					Logic.this.pending = grab(inlet());
					write();
				}

				@Override
				public void onUpstreamFinish() {
					if (Logic.this.pending.isEmpty()) {
						completeStage();
					}
				}

			});
			setHandler(outlet(), new AbstractOutHandler() {

				@Override
				public void onPull() {
					if (!Logic.this.pending.isEmpty()) {
						write();
					}
					else {
						awaitBytes();
					}
				}

			});
		}

		private void write() {
			ByteString piece = this.pending.take(PIECE_BYTES);
			this.pending = this.pending.drop(PIECE_BYTES);
			OutboundStage.this.connection.onWriting(true);
			push(outlet(), piece);
			if (this.pending.isEmpty() && isClosed(inlet())) {
				completeStage();
			}
		}

		private void awaitBytes() {
			OutboundStage.this.connection.onWriting(false);
			if (!isClosed(inlet())) {
				pull(inlet());
			}
		}

	}

}
