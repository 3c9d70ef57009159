package org.marjoramgw.direct.forward;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.ResultCode;
import org.marjoramgw.time.Timers;

/**
 * End of one request: its response, its log line, and the release of what it holds. Not
 * thread-safe; guarded by the lock of its request.
 *
 * @author The marjoramgw authors
 */
final class RequestCompletion {

	private final ForwardingContext context;

	private final RequestState state;

	private final LimitedStart limitedStart;

	private final Runnable onEnd;

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	private Timers.Handle timer = Timers.Handle.NONE;

	private PromptRecord promptRecord;

	private boolean responded;

	/**
	 * Creates the end of a request.
	 * @param context shared components
	 * @param state state of the request
	 * @param limitedStart start of the request
	 * @param onEnd called once when the request is complete
	 */
	RequestCompletion(ForwardingContext context, RequestState state, LimitedStart limitedStart, Runnable onEnd) {
		this.context = context;
		this.state = state;
		this.limitedStart = limitedStart;
		this.onEnd = onEnd;
	}

	/**
	 * Sets the timer that the end cancels, in place of the one before it.
	 * @param newTimer timer of the request
	 */
	void setTimer(Timers.Handle newTimer) {
		this.timer.cancel();
		this.timer = newTimer;
	}

	/**
	 * Sets the record that the end closes.
	 * @param newPromptRecord record of the prompt
	 */
	void hold(PromptRecord newPromptRecord) {
		this.promptRecord = newPromptRecord;
	}

	CompletionStage<HttpResponse> response() {
		return this.response;
	}

	/**
	 * Tells whether the caller has a response, whose body may still be streaming.
	 * @return whether it has
	 */
	boolean isResponded() {
		return this.responded;
	}

	/**
	 * Starts to stream a response.
	 * @param head the response with its streaming body
	 */
	void startStream(HttpResponse head) {
		this.responded = true;
		this.response.complete(head);
	}

	/**
	 * Ends the request with a complete response.
	 * @param code result code
	 * @param complete the response
	 * @param detail further fields for the log line
	 */
	void complete(ResultCode code, HttpResponse complete, String detail) {
		this.responded = true;
		record(code, complete.status().intValue(), detail);
		this.response.complete(complete);
	}

	/**
	 * Ends the request with an error, or its stream if it has begun.
	 * @param code result code, which is replaced if it denies a possible run
	 * @param detail further fields for the log line
	 */
	void reject(ResultCode code, String detail) {
		ResultCode adjustedCode = this.state.history().adjustForPossibleRun(code);
		if (this.responded) {
			cutOff(adjustedCode, detail);
			return;
		}
		complete(adjustedCode,
				this.context.callerDialect().withRequestId(ErrorResponses.of(adjustedCode), this.state.caller().id()),
				detail);
	}

	/**
	 * Ends the request whose stream ended.
	 * @param code result code
	 * @param status status of the response
	 * @param detail further fields for the log line
	 */
	void record(ResultCode code, int status, String detail) {
		this.timer.cancel();
		this.state.prompt().end();
		this.limitedStart.finish();
		if (this.promptRecord != null) {
			this.promptRecord.end();
		}
		this.onEnd.run();
		this.state.recordOutcome(code, status, detail);
	}

	private void cutOff(ResultCode code, String reason) {
		String what = this.state.isResuming() ? "stream not resumed: " : "stream cut off: ";
		this.state.resumableBody().abandon(reason);
		record(code, 0, what + reason);
	}

}
