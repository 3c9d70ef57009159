package org.marjoramgw.entry.dispatch;

import org.marjoramgw.wire.BackendCall;
import org.marjoramgw.wire.Message;

/**
 * Run of a request at one side process: sends the messages about it and knows how much of
 * its response has arrived.
 *
 * @author The marjoramgw authors
 */
final class RunningAttempt {

	private static final int ACK_INTERVAL_CHUNKS = 32;

	private final String sideId;

	private final long incarnation;

	private final int attempt;

	private final String requestId;

	private final SideProcesses sides;

	private long nextSequence;

	RunningAttempt(String sideId, long incarnation, int attempt, String requestId, SideProcesses sides) {
		this.sideId = sideId;
		this.incarnation = incarnation;
		this.attempt = attempt;
		this.requestId = requestId;
		this.sides = sides;
	}

	String sideId() {
		return this.sideId;
	}

	long incarnation() {
		return this.incarnation;
	}

	int attempt() {
		return this.attempt;
	}

	long nextSequence() {
		return this.nextSequence;
	}

	boolean isFrom(String otherSideId, int otherAttempt) {
		return this.sideId.equals(otherSideId) && this.attempt == otherAttempt;
	}

	/**
	 * Accepts a chunk if it is the next one in sequence.
	 * @param chunk the chunk
	 * @return whether it was accepted
	 */
	boolean accept(Message.Chunk chunk) {
		if (chunk.sequence() != this.nextSequence) {
			return false;
		}
		this.nextSequence++;
		return true;
	}

	void start(BackendCall call) {
		send(new Message.Run(this.requestId, this.attempt, call));
	}

	void resume() {
		send(new Message.Resume(this.requestId, this.attempt, this.nextSequence));
	}

	void cancel() {
		send(new Message.Cancel(this.requestId, this.attempt));
	}

	/**
	 * Acknowledges the accepted chunks at regular intervals.
	 */
	void acknowledgeIfDue() {
		if (this.nextSequence % ACK_INTERVAL_CHUNKS == 0) {
			acknowledge(this.nextSequence);
		}
	}

	/**
	 * Acknowledges the complete response.
	 * @param end the end of the response
	 */
	void acknowledgeEnd(Message.End end) {
		acknowledge(end.chunkCount() + 1);
	}

	private void acknowledge(long sequence) {
		send(new Message.Ack(this.requestId, this.attempt, sequence));
	}

	private void send(Message message) {
		this.sides.send(this.sideId, message);
	}

}
