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
 * Stream stage that passes a body through and reports its course to an observer. It fails
 * if the server sends an event without end, if a stream of events ends inside one, or if
 * it has none and ends only with its connection.
 *
 * @author The marjoramgw authors
 */
final class ObservedBody extends ByteStage {

	/**
	 * Events with which it is certain that a server has gone on after the first one. A
	 * server that crashes while it begins an answer may have sent any part of that.
	 */
	private static final int MIN_EVENTS = 2;

	private final BodyObserver observer;

	private final boolean hasEvents;

	private final boolean endIsCertain;

	/**
	 * Creates a stage.
	 * @param observer receives the course of the body
	 * @param hasEvents whether the body is a stream of events
	 * @param endIsCertain whether the body has an end of its own and doesn't merely end
	 * with its connection
	 */
	ObservedBody(BodyObserver observer, boolean hasEvents, boolean endIsCertain) {
		super("body");
		this.observer = observer;
		this.hasEvents = hasEvents;
		this.endIsCertain = endIsCertain;
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
					addEvents(bytes);
					push(outlet(), bytes);
				}
				catch (ResponseTooLargeException ex) {
					fail(ex);
				}
			}

			private void addEvents(ByteString bytes) throws ResponseTooLargeException {
				long countBefore = Logic.this.event.count();
				Logic.this.event.add(bytes);
				if (ObservedBody.this.hasEvents && countBefore < MIN_EVENTS && Logic.this.event.count() >= MIN_EVENTS) {
					ObservedBody.this.observer.onProgress();
				}
			}

			@Override
			public void onUpstreamFinish() {
				if (ObservedBody.this.hasEvents && Logic.this.event.isInsideEvent()) {
					fail(new IOException("stream ended inside an event"));
					return;
				}
				if (ObservedBody.this.hasEvents && !ObservedBody.this.endIsCertain && Logic.this.event.count() == 0) {
					fail(new IOException("stream ended before its first event"));
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
