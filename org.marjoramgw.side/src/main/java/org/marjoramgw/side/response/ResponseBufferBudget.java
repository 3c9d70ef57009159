package org.marjoramgw.side.response;

/**
 * Memory budget shared by all response buffers, with a limit for each response.
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
	 * @param maxBytes limit for all responses together, in bytes
	 * @param maxResponseBytes limit for one response, in bytes
	 */
	public ResponseBufferBudget(long maxBytes, long maxResponseBytes) {
		this.maxBytes = maxBytes;
		this.maxResponseBytes = maxResponseBytes;
	}

	/**
	 * Returns the memory that a chunk uses, with a fixed overhead per chunk.
	 * @param payloadBytes length of its payload, in bytes
	 * @return the memory in bytes
	 */
	static long chunkBytes(int payloadBytes) {
		return payloadBytes + CHUNK_OVERHEAD_BYTES;
	}

	/**
	 * Reserves memory for a chunk if neither limit would be exceeded.
	 * @param payloadBytes length of its payload, in bytes
	 * @param responseBytes memory that its response already uses, in bytes
	 * @return whether the memory was reserved
	 */
	boolean tryReserve(int payloadBytes, long responseBytes) {
		long neededBytes = chunkBytes(payloadBytes);
		if (this.usedBytes + neededBytes > this.maxBytes || responseBytes + neededBytes > this.maxResponseBytes) {
			return false;
		}
		this.usedBytes += neededBytes;
		return true;
	}

	/**
	 * Releases the memory of a chunk.
	 * @param payloadBytes length of its payload, in bytes
	 */
	void release(int payloadBytes) {
		this.usedBytes -= chunkBytes(payloadBytes);
	}

	/**
	 * Returns the memory in use.
	 * @return the memory in bytes
	 */
	public long usedBytes() {
		return this.usedBytes;
	}

}
