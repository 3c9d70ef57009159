package org.marjoramgw.side.response;

/**
 * Room that all kept answers share, with a bound for each.
 *
 * @author The marjoramgw authors
 */
public final class ResponseBufferBudget {

	private static final int CHUNK_OVERHEAD_BYTES = 96;

	private final long maxBytes;

	private final long maxResponseBytes;

	private long usedBytes;

	/**
	 * Creates a budget.
	 * @param maxBytes bound of all answers, in bytes
	 * @param maxAnswerBytes bound of one answer, in bytes
	 */
	public ResponseBufferBudget(long maxBytes, long maxAnswerBytes) {
		this.maxBytes = maxBytes;
		this.maxResponseBytes = maxAnswerBytes;
	}

	/**
	 * Returns the room that a chunk takes.
	 * @param payloadBytes length of its payload, in bytes
	 * @return the room in bytes
	 */
	static long chunkBytes(int payloadBytes) {
		return payloadBytes + CHUNK_OVERHEAD_BYTES;
	}

	/**
	 * Takes room for a chunk.
	 * @param payloadBytes length of its payload, in bytes
	 * @param answerBytes room that its answer takes already, in bytes
	 * @return whether there was room
	 */
	boolean tryReserve(int payloadBytes, long answerBytes) {
		long cost = chunkBytes(payloadBytes);
		if (this.usedBytes + cost > this.maxBytes || answerBytes + cost > this.maxResponseBytes) {
			return false;
		}
		this.usedBytes += cost;
		return true;
	}

	/**
	 * Gives the room of a chunk back.
	 * @param payloadBytes length of its payload, in bytes
	 */
	void release(int payloadBytes) {
		this.usedBytes -= chunkBytes(payloadBytes);
	}

	/**
	 * Returns the room that is taken.
	 * @return bytes
	 */
	public long usedBytes() {
		return this.usedBytes;
	}

}
