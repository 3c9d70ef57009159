package org.marjoramgw.standin.engine;

/**
 * Generation of a response; guarded by the lock of its batch.
 *
 * @author The marjoramgw authors
 */
final class Generation {

	private final ChatCall call;

	private final ResponseText response;

	private final int continueFromTokens;

	private final int endToken;

	private final TokenSink sink;

	private final long sequence;

	private int nextToken;

	private int prefillTokens;

	private long firstTokenAtNanos;

	private long startedMillis;

	private long endedMillis;

	private String state = Execution.RUNNING;

	Generation(ChatCall call, ResponseText response, int continueFromTokens, TokenSink sink, long sequence) {
		this.call = call;
		this.response = response;
		this.continueFromTokens = continueFromTokens;
		this.nextToken = continueFromTokens;
		int tokenLimit = (call.maxTokens() != null) ? call.maxTokens() : Integer.MAX_VALUE;
		this.endToken = Math.min(response.tokenCount(), tokenLimit);
		this.sink = sink;
		this.sequence = sequence;
	}

	String requestId() {
		return (this.call.requestId() != null) ? this.call.requestId() : "";
	}

	int tier() {
		return this.call.tier();
	}

	long sequence() {
		return this.sequence;
	}

	String prefillText() {
		return this.call.conversation() + this.call.continueFromOrEmpty();
	}

	void start(int prefillTokens, long firstTokenAtNanos, long nowMillis) {
		this.prefillTokens = prefillTokens;
		this.firstTokenAtNanos = firstTokenAtNanos;
		this.startedMillis = nowMillis;
	}

	boolean isPrefillDone(long nowNanos) {
		return nowNanos - this.firstTokenAtNanos >= 0;
	}

	boolean isComplete() {
		return this.nextToken >= this.endToken;
	}

	/**
	 * Generates one token.
	 * @return whether the client is still connected
	 */
	boolean step() {
		String token = this.response.token(this.nextToken);
		this.nextToken++;
		return this.sink.emit(token);
	}

	void finish(long nowMillis) {
		end(Execution.DONE, nowMillis);
		this.sink.finish((this.endToken < this.response.tokenCount()) ? "length" : "stop");
	}

	void cancel(long nowMillis) {
		end(Execution.CANCELLED, nowMillis);
		this.sink.finish("cancelled");
	}

	void crash(long nowMillis) {
		end(Execution.CRASHED, nowMillis);
		this.sink.abort();
	}

	Execution toExecution() {
		return new Execution(requestId(), this.call.model(), this.response.sha256(), this.continueFromTokens,
				this.prefillTokens, this.nextToken - this.continueFromTokens, this.state, this.startedMillis,
				this.endedMillis);
	}

	private void end(String finalState, long nowMillis) {
		this.state = finalState;
		this.endedMillis = nowMillis;
	}

}
