package org.marjoramgw.policy.slot;

import org.marjoramgw.policy.preemption.RunningRequest;
import org.marjoramgw.policy.queue.WaitingRequest;

/**
 * Request that holds a slot, with what was charged to its account.
 *
 * @author The marjoramgw authors
 */
final class SlotHolder {

	private final WaitingRequest request;

	private final long takenMillis;

	private final double chargedMillis;

	private boolean resumable;

	private long contextTokens;

	private int preemptedCount;

	SlotHolder(WaitingRequest request, long takenMillis, double chargedMillis) {
		this.request = request;
		this.takenMillis = takenMillis;
		this.chargedMillis = chargedMillis;
	}

	WaitingRequest request() {
		return this.request;
	}

	long takenMillis() {
		return this.takenMillis;
	}

	double chargedMillis() {
		return this.chargedMillis;
	}

	boolean resumable() {
		return this.resumable;
	}

	void setResumable(long tokens, int preempted) {
		this.resumable = true;
		this.contextTokens = tokens;
		this.preemptedCount = preempted;
	}

	void addTokens(int tokens) {
		this.contextTokens += tokens;
	}

	RunningRequest toRunning() {
		return new RunningRequest(this.request.key(), this.request.requestClass(), this.request.tier(),
				this.contextTokens, this.preemptedCount);
	}

}
