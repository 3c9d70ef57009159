package org.marjoramgw.http;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.AsyncCallback;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Passes received bytes on to the HTTP parser and tells the connection of them. The
 * parser needs stack for each request that it gets at once and for each empty line before
 * one. So empty lines before a request are removed, and many requests of one read are
 * passed on in portions.
 *
 * @author The marjoramgw authors
 */
final class InboundStage extends ByteStage {

	/** Number of empty lines from which on a read is passed on in portions. */
	private static final int MANY_EMPTY_LINES = 8;

	/**
	 * Size of a portion. It holds some 20 of the shortest requests; the parser's stack
	 * was exhausted by 390.
	 */
	private static final int PORTION_BYTES = 512;

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

		private ByteString remaining = ByteString.emptyByteString();

		private int portionBytes;

		Logic() {
			super(shape());
			setHandler(inlet(), new AbstractInHandler() {

				@Override
				public void onPush() {
					receive(grab(inlet()));
				}

				@Override
				public void onUpstreamFinish() {
					if (Logic.this.remaining.isEmpty()) {
						completeStage();
					}
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
			this.portionBytes = hasManyEmptyLines(bytes) ? PORTION_BYTES : bytes.size();
			setRemaining(bytes);
			if (!passPortion()) {
				read();
			}
		}

		private void read() {
			boolean passed = false;
			while (!passed) {
				if (!InboundStage.this.connection.mayRead()) {
					InboundStage.this.connection.reject();
					return;
				}
				if (this.remaining.isEmpty()) {
					pullWithMemory();
					return;
				}
				passed = passPortion();
			}
		}

		/**
		 * Passes on a portion of the last read, without the empty lines before a request.
		 * @return whether anything was left of it
		 */
		private boolean passPortion() {
			ByteString portion = this.remaining.take(this.portionBytes);
			setRemaining(this.remaining.drop(this.portionBytes));
			InboundStage.this.connection.onReceived(portion.size());
			ByteString rest = InboundStage.this.connection.isBetweenRequests() ? withoutEmptyLines(portion) : portion;
			if (rest.isEmpty()) {
				InboundStage.this.connection.onEmptyLines();
				return false;
			}
			if (!InboundStage.this.connection.mayPass(rest)) {
				InboundStage.this.connection.reject();
				return true;
			}
			push(outlet(), rest);
			completeIfRead();
			return true;
		}

		/**
		 * Sets the bytes that are not passed on yet, and charges all but the portion that
		 * is passed on next.
		 * @param bytes the bytes
		 */
		private void setRemaining(ByteString bytes) {
			int addedBytes = chargedBytes(bytes) - chargedBytes(this.remaining);
			this.remaining = bytes;
			if (addedBytes != 0) {
				InboundStage.this.connection.held().add(addedBytes);
			}
		}

		private int chargedBytes(ByteString bytes) {
			return Math.max(0, bytes.size() - this.portionBytes);
		}

		private void completeIfRead() {
			if (this.remaining.isEmpty() && isClosed(inlet())) {
				completeStage();
			}
		}

		private void pullWithMemory() {
			if (isClosed(inlet())) {
				completeStage();
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

		private boolean hasManyEmptyLines(ByteString bytes) {
			int count = 0;
			int previous = -1;
			int next = bytes.indexOf((byte) '\n');
			while (next >= 0 && count < MANY_EMPTY_LINES) {
				boolean empty = next == previous + 1 || (next == previous + 2 && bytes.apply(next - 1) == '\r');
				count += empty ? 1 : 0;
				previous = next;
				next = bytes.indexOf((byte) '\n', next + 1);
			}
			return count == MANY_EMPTY_LINES;
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
