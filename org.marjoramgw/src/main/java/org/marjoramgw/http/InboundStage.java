package org.marjoramgw.http;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Passes received bytes on to the HTTP parser and tells the connection of them. Removes
 * the empty lines that may precede a request, since the parser needs stack for each.
 *
 * @author The marjoramgw authors
 */
final class InboundStage extends ByteStage {

	private final ServedConnection connection;

	InboundStage(ServedConnection connection) {
		super("caller-inbound");
		this.connection = connection;
	}

	@Override
	public GraphStageLogic createLogic(Attributes attributes) {
		return new Logic();
	}

	private final class Logic extends GraphStageLogic {

		private final AsyncCallback<Boolean> onMemory = createAsyncCallback(this::onMemory);

		Logic() {
			super(shape());
			setHandler(inlet(), new AbstractInHandler() {

				@Override
				public void onPush() {
					receive(grab(inlet()));
				}

			});
			setHandler(outlet(), new AbstractOutHandler() {

				@Override
				public void onPull() {
					read();
				}

			});
		}

		private void receive(ByteString bytes) {
			boolean atStart = InboundStage.this.connection.onReceived(bytes.size());
			ByteString rest = atStart ? withoutEmptyLines(bytes) : bytes;
			if (rest.isEmpty()) {
				InboundStage.this.connection.onEmptyLines();
				read();
			}
			else {
				push(outlet(), rest);
			}
		}

		private void read() {
			if (!InboundStage.this.connection.mayRead()) {
				InboundStage.this.connection.reject();
				return;
			}
			CompletionStage<Void> memory = InboundStage.this.connection.reserveRead();
			if (memory == MemoryBudget.GRANTED) {
				pull(inlet());
				return;
			}
			memory.whenComplete((granted, failure) -> this.onMemory.invoke(failure == null));
		}

		private void onMemory(boolean granted) {
			if (granted && !isClosed(inlet()) && !hasBeenPulled(inlet())) {
				pull(inlet());
			}
			else if (!granted) {
				InboundStage.this.connection.abort();
			}
		}

		private ByteString withoutEmptyLines(ByteString bytes) {
			int start = 0;
			while (start < bytes.size() && (bytes.apply(start) == '\r' || bytes.apply(start) == '\n')) {
				start++;
			}
			return bytes.drop(start);
		}

	}

}
