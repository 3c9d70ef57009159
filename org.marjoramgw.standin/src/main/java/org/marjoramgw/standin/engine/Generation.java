package org.marjoramgw.standin.engine;

/**
 * Generation that waits or runs; confined to its batch's lock.
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

	Generation(ChatCall call, ResponseText answer, int heldTokens, TokenSink sink, long sequence) {
		this.call = call;
		this.response = answer;
		this.continueFromTokens = heldTokens;
		this.nextToken = heldTokens;
		int bound = (call.maxTokens() != null) ? call.maxTokens() : Integer.MAX_VALUE;
		this.endToken = Math.min(answer.tokenCount(), bound);
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

	void start(int tokens, long firstTokenNanos, long nowMillis) {
		this.prefillTokens = tokens;
		this.firstTokenAtNanos = firstTokenNanos;
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
	 * @return whether its receiver is still there
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

	private void end(String last, long nowMillis) {
		this.state = last;
		this.endedMillis = nowMillis;
	}

}
