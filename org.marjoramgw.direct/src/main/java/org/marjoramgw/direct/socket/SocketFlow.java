package org.marjoramgw.direct.socket;

import java.io.IOException;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.http.ByteStage;

/**
 * Stream stage of one socket: writes its input to the socket and emits the bytes read
 * from the socket.
 *
 * @author The marjoramgw authors
 */
final class SocketFlow extends ByteStage {

	private final AcceptedSocket socket;

	SocketFlow(AcceptedSocket socket) {
		super("socket");
		this.socket = socket;
	}

	@Override
	public GraphStageLogic createLogic(Attributes attributes) {
		return new Logic();
	}

	private final class Logic extends GraphStageLogic {

		private final Inlet<ByteString> toWrite = inlet();

		private final Outlet<ByteString> read = outlet();

		private final AcceptedSocket acceptedSocket = SocketFlow.this.socket;

		private final AsyncCallback<Boolean> received = createAsyncCallback((ignored) -> pushReceived());

		private final AsyncCallback<Boolean> written = createAsyncCallback((ignored) -> onWritten());

		private boolean writing;

		private Logic() {
			super(SocketFlow.this.shape());
			setHandler(this.toWrite, new Writer());
			setHandler(this.read, new Reader());
		}

		@Override
		public void preStart() {
			// Bytes may still be written when both ends of this stage are closed.
			setKeepGoing(true);
			this.acceptedSocket.whenReceived(() -> this.received.invoke(true));
			pull(this.toWrite);
		}

		@Override
		public void postStop() {
			this.acceptedSocket.closeGracefully();
		}

		private void pushReceived() {
			if (!isAvailable(this.read) || !this.acceptedSocket.mayTake()) {
				return;
			}
			ByteString bytes = this.acceptedSocket.take();
			if (bytes.nonEmpty()) {
				push(this.read, bytes);
			}
			else if (this.acceptedSocket.isExhausted()) {
				complete(this.read);
			}
		}

		private void onWritten() {
			this.writing = false;
			if (isClosed(this.toWrite)) {
				completeStage();
			}
			else {
				pull(this.toWrite);
			}
		}

		private final class Writer extends AbstractInHandler {

			@Override
			public void onPush() {
				Logic logic = Logic.this;
				try {
					logic.writing = !logic.acceptedSocket.write(grab(logic.toWrite), () -> logic.written.invoke(true));
				}
				catch (IOException ex) {
					// The caller has disconnected, which is logged with its request.
					failStage(ex);
					return;
				}
				if (!logic.writing) {
					pull(logic.toWrite);
				}
			}

			@Override
			public void onUpstreamFinish() {
				if (!Logic.this.writing) {
					completeStage();
				}
			}

			@Override
			public void onUpstreamFailure(Throwable failure) {
				// An incomplete response must not look complete, so nothing more is
				// written.
				Logic.this.acceptedSocket.close();
				failStage(failure);
			}

		}

		private final class Reader extends AbstractOutHandler {

			@Override
			public void onPull() {
				pushReceived();
			}

			@Override
			public void onDownstreamFinish(Throwable cause) {
				// No more input is needed from the peer, which still receives its
				// response.
			}

		}

	}

}
