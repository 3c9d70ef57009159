package org.marjoramgw.direct.forward;

import org.marjoramgw.errors.ResponseTooLargeException;
import org.marjoramgw.http.MemoryLimit;
import org.marjoramgw.policy.memory.MemoryBudget;
import org.marjoramgw.policy.memory.MemoryUse;

/**
 * Memory budget of the response bodies that are read completely before they are passed
 * on; thread-safe. Counts the memory that a body occupies, not its length.
 * <p>
 * A small body never waits for the budget, so that servers that send bytes without end
 * use it up only for other large bodies.
 *
 * @author The marjoramgw authors
 */
public final class BodyBudget {

	/** Memory up to which a body needs no budget. */
	private static final long SMALL_BODY_BYTES = 64 << 10;

	private final long maxBodyBytes;

	private final long maxTotalBytes;

	private final MemoryBudget memory;

	private long usedBytes;

	/**
	 * Creates a budget.
	 * @param maxBodyBytes limit on the memory of one body, in bytes
	 * @param maxTotalBytes limit on the memory of all large bodies together, in bytes
	 */
	public BodyBudget(long maxBodyBytes, long maxTotalBytes) {
		this(maxBodyBytes, maxTotalBytes, MemoryBudget.unlimited());
	}

	/**
	 * Creates a budget as a part of that of the process.
	 * @param maxBodyBytes limit on the memory of one body, in bytes
	 * @param maxTotalBytes limit on the memory of all large bodies together, in bytes
	 * @param memory budget of the process
	 */
	public BodyBudget(long maxBodyBytes, long maxTotalBytes, MemoryBudget memory) {
		this.memory = memory;
		this.maxBodyBytes = maxBodyBytes;
		this.maxTotalBytes = maxTotalBytes;
	}

	/**
	 * Starts a body.
	 * @return the memory of the body, to be closed when it was read
	 */
	Reservation open() {
		return new Reservation();
	}

	private synchronized void take(long bytes) throws ResponseTooLargeException {
		if (this.usedBytes + bytes > this.maxTotalBytes || !this.memory.tryReserve(MemoryUse.RESPONSE_BODIES, bytes)) {
			throw new ResponseTooLargeException("total of the bodies being read", this.maxTotalBytes);
		}
		this.usedBytes += bytes;
	}

	private synchronized void release(long bytes) {
		this.usedBytes -= bytes;
		this.memory.release(MemoryUse.RESPONSE_BODIES, bytes);
	}

	/**
	 * Memory of one body. Not thread-safe.
	 */
	final class Reservation implements MemoryLimit, AutoCloseable {

		private long bodyBytes;

		private long reservedBytes;

		@Override
		public void reserve(long bytes) throws ResponseTooLargeException {
			this.bodyBytes += bytes;
			if (this.bodyBytes > BodyBudget.this.maxBodyBytes) {
				throw new ResponseTooLargeException("body", BodyBudget.this.maxBodyBytes);
			}
			long missingBytes = this.bodyBytes - SMALL_BODY_BYTES - this.reservedBytes;
			if (missingBytes > 0) {
				take(missingBytes);
				this.reservedBytes += missingBytes;
			}
		}

		@Override
		public void close() {
			release(this.reservedBytes);
			this.reservedBytes = 0;
		}

	}

}
