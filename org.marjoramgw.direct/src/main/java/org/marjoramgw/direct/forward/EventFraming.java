package org.marjoramgw.direct.forward;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.AbstractInOutHandler;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;

/**
 * Stream stage that passes on complete events only. An event that is incomplete when its
 * server fails is dropped.
 *
 * @author The marjoramgw authors
 */
final class EventFraming extends GraphStage<FlowShape<ByteString, ByteString>> {

	private final Inlet<ByteString> in = Inlet.create("events.in");

	private final Outlet<ByteString> out = Outlet.create("events.out");

	private final FlowShape<ByteString, ByteString> shape = FlowShape.of(this.in, this.out);

	private final StreamPosition position;

	/**
	 * Creates a stage.
	 * @param position position in the stream, which moves with each event
	 */
	EventFraming(StreamPosition position) {
		this.position = position;
	}

	@Override
	public FlowShape<ByteString, ByteString> shape() {
		return this.shape;
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
			super(EventFraming.this.shape);
			setHandlers(EventFraming.this.in, EventFraming.this.out, new Handler());
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
				String events = takeEvents(grab(EventFraming.this.in));
				if (events.isEmpty()) {
					pull(EventFraming.this.in);
				}
				else {
					push(EventFraming.this.out, ByteString.fromString(events, StandardCharsets.ISO_8859_1));
				}
			}

			@Override
			public void onPull() {
				pull(EventFraming.this.in);
			}

			@Override
			public void onUpstreamFinish() {
				if (!Logic.this.rest.isEmpty()) {
					emit(EventFraming.this.out,
							ByteString.fromString(Logic.this.rest.toString(), StandardCharsets.ISO_8859_1));
				}
				completeStage();
			}

		}

	}

}
