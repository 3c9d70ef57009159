package org.marjoramgw.direct.forward;

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

	private static final String EVENT_END = "\n\n";

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

		/** Bytes of the incomplete event, one character each. */
		private String rest = "";

		private Logic() {
			super(EventFraming.this.shape);
			setHandlers(EventFraming.this.in, EventFraming.this.out, new Handler());
		}

		private String takeEvents(ByteString bytes) {
			String text = this.rest + bytes.decodeString(StandardCharsets.ISO_8859_1);
			StringBuilder events = new StringBuilder();
			int start = 0;
			int end = text.indexOf(EVENT_END);
			while (end >= 0) {
				String event = text.substring(start, end + EVENT_END.length());
				if (EventFraming.this.position.advance(event)) {
					events.append(event);
				}
				start = end + EVENT_END.length();
				end = text.indexOf(EVENT_END, start);
			}
			this.rest = text.substring(start);
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
					emit(EventFraming.this.out, ByteString.fromString(Logic.this.rest, StandardCharsets.ISO_8859_1));
				}
				completeStage();
			}

		}

	}

}
