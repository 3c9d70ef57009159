package org.marjoramgw.entry.dispatch;

import org.marjoramgw.wire.Message;

/**
 * Run of a request at one side process, and how much of its response has arrived.
 *
 * @author The marjoramgw authors
 */
final class RunningAttempt {

	private static final int ACK_INTERVAL_CHUNKS = 32;

	private final String sideId;

	private final long incarnation;

	private final int attempt;

	private long nextSequence;

	RunningAttempt(String sideId, long incarnation, int attempt) {
		this.sideId = sideId;
		this.incarnation = incarnation;
		this.attempt = attempt;
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

	boolean isAckDue() {
		return this.nextSequence % ACK_INTERVAL_CHUNKS == 0;
	}

}
