package org.marjoramgw.side.scheduler;

import org.marjoramgw.claim.ClaimKey;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.side.answer.AnswerBuffer;
import org.marjoramgw.side.backend.BackendRun;
import org.marjoramgw.wire.BackendCall;
import org.marjoramgw.wire.Message;

/**
 * Request at this process, from its reservation until its answer is acknowledged.
 *
 * @author The marjoramgw authors
 */
final class Ticket {

	private final WaitingRequest waiting;

	private final Message.Reserve reserve;

	private final long finishByMillis;

	private final AnswerBuffer answer;

	private final GapMeter gaps = new GapMeter();

	private final StringBuilder text = new StringBuilder();

	private EntryLink link;

	private TicketState state = TicketState.QUEUED;

	private long grantUntilMillis;

	private long slotSinceMillis;

	private long slotMillis;

	private BackendCall call;

	private ClaimKey claim;

	private BackendRun run;

	private int execution;

	private int generatedTokens;

	private int executionTokens;

	private long heardMillis;

	private long doneMillis;

	private boolean refused;

	Ticket(WaitingRequest waiting, Message.Reserve reserve, long finishByMillis, AnswerBuffer answer, EntryLink link) {
		this.waiting = waiting;
		this.reserve = reserve;
		this.finishByMillis = finishByMillis;
		this.answer = answer;
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

	long finishByMillis() {
		return this.finishByMillis;
	}

	AnswerBuffer answer() {
		return this.answer;
	}

	GapMeter gaps() {
		return this.gaps;
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

	TicketState state() {
		return this.state;
	}

	long grantUntilMillis() {
		return this.grantUntilMillis;
	}

	void granted(long nowMillis, long holdMillis) {
		this.state = TicketState.GRANTED;
		this.slotSinceMillis = nowMillis;
		this.grantUntilMillis = nowMillis + holdMillis;
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

	void claiming(ClaimKey key) {
		this.claim = key;
		this.state = TicketState.CLAIMING;
	}

	int startExecution(long nowMillis) {
		this.state = TicketState.RUNNING;
		this.execution++;
		if (this.execution > 1) {
			this.slotSinceMillis = nowMillis;
		}
		this.executionTokens = 0;
		this.heardMillis = nowMillis;
		this.gaps.restart(nowMillis);
		return this.execution;
	}

	void setRun(BackendRun started) {
		this.run = started;
	}

	int execution() {
		return this.execution;
	}

	void generated(int tokens, String part, long nowMillis) {
		this.generatedTokens += tokens;
		this.executionTokens += tokens;
		this.heardMillis = nowMillis;
		this.text.append(part);
		this.gaps.tokens(tokens, nowMillis);
	}

	boolean hasExecutionBegun() {
		return this.executionTokens > 0;
	}

	long heardMillis() {
		return this.heardMillis;
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

	void stopRun() {
		if (this.run != null) {
			this.run.cancel();
			this.run = null;
		}
	}

	void preempted(long nowMillis) {
		this.slotMillis += nowMillis - this.slotSinceMillis;
		this.state = TicketState.PREEMPTED;
	}

	long slotMillis(long nowMillis) {
		return this.slotMillis + nowMillis - this.slotSinceMillis;
	}

	void done(Message last, long nowMillis) {
		this.state = TicketState.DONE;
		this.run = null;
		this.doneMillis = nowMillis;
		this.refused = last instanceof Message.Refusal;
		this.answer.finish(last);
	}

	long doneMillis() {
		return this.doneMillis;
	}

	boolean refused() {
		return this.refused;
	}

}
