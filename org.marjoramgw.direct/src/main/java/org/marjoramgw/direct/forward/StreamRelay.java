package org.marjoramgw.direct.forward;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.ResultCode;

/**
 * Relays the streams of one request and records their first event, their progress and
 * their pauses; thread-safe by the lock of its request.
 *
 * @author The marjoramgw authors
 */
final class StreamRelay {

	private final ForwardingContext context;

	private final RequestState state;

	private final PromptRecord promptRecord;

	private final Object lock;

	/**
	 * Creates a relay.
	 * @param context shared components
	 * @param state state of the request
	 * @param promptRecord record of its prompt
	 * @param lock lock of the request
	 */
	StreamRelay(ForwardingContext context, RequestState state, PromptRecord promptRecord, Object lock) {
		this.context = context;
		this.state = state;
		this.promptRecord = promptRecord;
		this.lock = lock;
	}

	/**
	 * Returns the body of a response for the caller.
	 * @param attempt the attempt
	 * @param response its response
	 * @param onEnd called with the result code and a detail for the log
	 * @return the body
	 */
	Source<ByteString, ?> relay(Attempt attempt, HttpResponse response, EndListener onEnd) {
		PauseMeter pauses = this.promptRecord.pauseMeter(() -> this.context.clock().now().monotonicMillis(),
				attempt::onPause);
		boolean hasEvents = ResponseBodies.isEventStream(response);
		StreamObserver observer = new StreamObserver(() -> onFirstEvent(attempt, hasEvents), () -> onProgress(attempt),
				pauses, (code, detail) -> onEnd(attempt, response, pauses, code, detail, onEnd));
		return response.entity()
			.getDataBytes()
			.via(new ObservedBody(observer, hasEvents, ResponseBodies.isEndCertain(response)));
	}

	private void onFirstEvent(Attempt attempt, boolean hasEvents) {
		synchronized (this.lock) {
			attempt.onFirstToken();
			if (hasEvents) {
				this.state.countFirstEvent();
				this.state.onEvents(attempt.server());
			}
			this.state.history().onFirstBytes(this.state.ageMillis());
		}
	}

	private void onProgress(Attempt attempt) {
		synchronized (this.lock) {
			this.context.health().onSuccess(attempt.serverId());
			this.state.prompt().onAnswer();
		}
	}

	private void onEnd(Attempt attempt, HttpResponse response, PauseMeter pauses, ResultCode code, String detail,
			EndListener listener) {
		synchronized (this.lock) {
			if (attempt.isEnded()) {
				return;
			}
			this.state.history().onPause(pauses.longestMillis());
			this.promptRecord.endStream();
			if (code == ResultCode.OK) {
				this.context.health().onSuccess(attempt.serverId());
				this.state.prompt()
					.onComplete(attempt, response.status().isSuccess(), ResponseBodies.isEndCertain(response));
			}
			listener.onEnd(code, (code != ResultCode.OK) ? detail + this.state.prompt().describe(attempt) : detail);
		}
	}

	/**
	 * Receiver of the end of a stream. Called with the lock of the request.
	 */
	@FunctionalInterface
	interface EndListener {

		/**
		 * Called once when the stream ends while its attempt is current.
		 * @param code result code
		 * @param detail further fields for the log line
		 */
		void onEnd(ResultCode code, String detail);

	}

}
