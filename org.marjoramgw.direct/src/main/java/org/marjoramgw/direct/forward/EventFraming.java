package org.marjoramgw.direct.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.stage.AbstractInOutHandler;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.http.ByteStage;

/**
 * Stream stage that passes on complete events only. An event that is incomplete when its
 * server fails is dropped.
 *
 * @author The marjoramgw authors
 */
final class EventFraming extends ByteStage {

	private final StreamPosition position;

	/**
	 * Creates a stage.
	 * @param position position in the stream, which moves with each event
	 */
	EventFraming(StreamPosition position) {
		super("events");
		this.position = position;
	}

	@Override
	public GraphStageLogic createLogic(Attributes attributes) {
		return new Logic();
	}

	private final class Logic extends GraphStageLogic {

		private final EventBoundary boundary = new EventBoundary();

		/** Bytes of the incomplete event, one character each. */
		private final StringBuilder rest = new StringBuilder();

		private Logic() {
			super(EventFraming.this.shape());
			setHandlers(inlet(), outlet(), new Handler());
		}

		private String takeEvents(ByteString bytes) {
			StringBuilder events = new StringBuilder();
			ByteBuffer buffer = bytes.asByteBuffer();
			while (buffer.hasRemaining()) {
				byte next = buffer.get();
				this.rest.append((char) Byte.toUnsignedInt(next));
				if (this.boundary.isEnd(next)) {
					String event = this.rest.toString();
					if (EventFraming.this.position.advance(event)) {
						events.append(event);
					}
					this.rest.setLength(0);
				}
			}
			return events.toString();
		}

		private final class Handler extends AbstractInOutHandler {

			@Override
			public void onPush() {
				String events = takeEvents(grab(inlet()));
				if (events.isEmpty()) {
					pull(inlet());
				}
				else {
					push(outlet(), ByteString.fromString(events, StandardCharsets.ISO_8859_1));
				}
			}

			@Override
			public void onPull() {
				pull(inlet());
			}

			@Override
			public void onUpstreamFinish() {
				if (!Logic.this.rest.isEmpty()) {
					emit(outlet(), ByteString.fromString(Logic.this.rest.toString(), StandardCharsets.ISO_8859_1));
				}
				completeStage();
			}

		}

	}

}
