package org.marjoramgw.side.scheduler;

import org.marjoramgw.claim.ClaimKey;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.side.backend.BackendExecution;
import org.marjoramgw.side.response.ResponseBuffer;
import org.marjoramgw.wire.BackendCall;
import org.marjoramgw.wire.Message;

/**
 * Request at this side process, from its reservation until its response is acknowledged.
 *
 * @author The marjoramgw authors
 */
final class ScheduledRequest {

	private final WaitingRequest waiting;

	private final Message.Reserve reserve;

	private final long deadlineMillis;

	private final ResponseBuffer response;

	private final TokenGapMeter tokenGaps = new TokenGapMeter();

	private final StringBuilder text = new StringBuilder();

	private EntryLink link;

	private RequestState state = RequestState.QUEUED;

	private long grantExpiryMillis;

	private long slotAcquiredMillis;

	private long slotMillis;

	private BackendCall call;

	private ClaimKey claim;

	private BackendExecution backendExecution;

	private int execution;

	private int generatedTokens;

	private int executionTokens;

	private long lastOutputMillis;

	private long finishedMillis;

	private boolean refused;

	ScheduledRequest(WaitingRequest waiting, Message.Reserve reserve, long deadlineMillis, ResponseBuffer response,
			EntryLink link) {
		this.waiting = waiting;
		this.reserve = reserve;
		this.deadlineMillis = deadlineMillis;
		this.response = response;
		this.link = link;
	}

	RequestKey key() {
		return this.waiting.key();
	}

	WaitingRequest waiting() {
		return this.waiting;
	}

	Message.Reserve reserve() {
		return this.reserve;
	}

	long deadlineMillis() {
		return this.deadlineMillis;
	}

	ResponseBuffer response() {
		return this.response;
	}

	TokenGapMeter tokenGaps() {
		return this.tokenGaps;
	}

	EntryLink link() {
		return this.link;
	}

	void setLink(EntryLink newLink) {
		this.link = newLink;
	}

	void send(Message message) {
		if (this.link != null) {
			this.link.send(message);
		}
	}

	RequestState state() {
		return this.state;
	}

	long grantExpiryMillis() {
		return this.grantExpiryMillis;
	}

	void grant(long nowMillis, long timeoutMillis) {
		this.state = RequestState.GRANTED;
		this.slotAcquiredMillis = nowMillis;
		this.grantExpiryMillis = nowMillis + timeoutMillis;
	}

	BackendCall call() {
		return this.call;
	}

	void accept(BackendCall accepted) {
		this.call = accepted;
		this.text.append(accepted.continueFrom());
	}

	ClaimKey claim() {
		return this.claim;
	}

	void startClaim(ClaimKey key) {
		this.claim = key;
		this.state = RequestState.CLAIMING;
	}

	int startExecution(long nowMillis) {
		this.state = RequestState.RUNNING;
		this.execution++;
		if (this.execution > 1) {
			this.slotAcquiredMillis = nowMillis;
		}
		this.executionTokens = 0;
		this.lastOutputMillis = nowMillis;
		this.tokenGaps.restart(nowMillis);
		return this.execution;
	}

	void setBackendExecution(BackendExecution started) {
		this.backendExecution = started;
	}

	int execution() {
		return this.execution;
	}

	void addOutput(int tokens, String part, long nowMillis) {
		this.generatedTokens += tokens;
		this.executionTokens += tokens;
		this.lastOutputMillis = nowMillis;
		this.text.append(part);
		this.tokenGaps.recordTokens(tokens, nowMillis);
	}

	boolean hasExecutionOutput() {
		return this.executionTokens > 0;
	}

	long lastOutputMillis() {
		return this.lastOutputMillis;
	}

	int generatedTokens() {
		return this.generatedTokens;
	}

	long contextTokens() {
		return (long) this.reserve.promptTokens() + this.generatedTokens;
	}

	int textLength() {
		return this.text.length();
	}

	String text() {
		return this.text.toString();
	}

	void cancelExecution() {
		if (this.backendExecution != null) {
			this.backendExecution.cancel();
			this.backendExecution = null;
		}
	}

	void preempt(long nowMillis) {
		this.slotMillis += nowMillis - this.slotAcquiredMillis;
		this.state = RequestState.PREEMPTED;
	}

	long slotMillis(long nowMillis) {
		return this.slotMillis + nowMillis - this.slotAcquiredMillis;
	}

	void finish(Message finalMessage, long nowMillis) {
		this.state = RequestState.DONE;
		this.backendExecution = null;
		this.finishedMillis = nowMillis;
		this.refused = finalMessage instanceof Message.Refusal;
		this.response.finish(finalMessage);
	}

	long finishedMillis() {
		return this.finishedMillis;
	}

	boolean refused() {
		return this.refused;
	}

}
