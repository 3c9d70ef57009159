package org.marjoramgw.direct.forward;

import java.io.IOException;

import org.apache.pekko.stream.Attributes;
import org.apache.pekko.stream.stage.AbstractInHandler;
import org.apache.pekko.stream.stage.AbstractOutHandler;
import org.apache.pekko.stream.stage.GraphStageLogic;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.errors.ResponseTooLargeException;
import org.marjoramgw.http.ByteStage;

/**
 * Stream stage that passes a body through and reports its start and end to an observer.
 * It fails if the server sends an event without end, or if a stream of events ends inside
 * one.
 *
 * @author The marjoramgw authors
 */
final class ObservedBody extends ByteStage {

	private final BodyObserver observer;

	private final boolean hasEvents;

	/**
	 * Creates a stage.
	 * @param observer receives the start and the end of the body
	 * @param hasEvents whether the body is a stream of events
	 */
	ObservedBody(BodyObserver observer, boolean hasEvents) {
		super("body");
		this.observer = observer;
		this.hasEvents = hasEvents;
	}

	@Override
	public GraphStageLogic createLogic(Attributes attributes) {
		return new Logic();
	}

	private final class Logic extends GraphStageLogic {

		private final EventMeter event = new EventMeter();

		private boolean started;

		private Logic() {
			super(ObservedBody.this.shape());
			setHandler(inlet(), new Upstream());
			setHandler(outlet(), new Downstream());
		}

		private final class Upstream extends AbstractInHandler {

			@Override
			public void onPush() {
				if (!Logic.this.started) {
					Logic.this.started = true;
					ObservedBody.this.observer.onFirstBytes();
				}
				ObservedBody.this.observer.onBytes();
				ByteString bytes = grab(inlet());
				try {
					Logic.this.event.add(bytes);
					push(outlet(), bytes);
				}
				catch (ResponseTooLargeException ex) {
					fail(ex);
				}
			}

			@Override
			public void onUpstreamFinish() {
				if (ObservedBody.this.hasEvents && Logic.this.event.isInsideEvent()) {
					fail(new IOException("stream ended inside an event"));
					return;
				}
				ObservedBody.this.observer.onComplete();
				completeStage();
			}

			@Override
			public void onUpstreamFailure(Throwable failure) {
				fail(failure);
			}

			private void fail(Throwable failure) {
				ObservedBody.this.observer.onFailure(failure);
				failStage(failure);
			}

		}

		private final class Downstream extends AbstractOutHandler {

			@Override
			public void onPull() {
				ObservedBody.this.observer.onDemand();
				pull(inlet());
			}

			@Override
			public void onDownstreamFinish(Throwable cause) {
				ObservedBody.this.observer.onCancelled();
				cancelStage(cause);
			}

		}

	}

}
