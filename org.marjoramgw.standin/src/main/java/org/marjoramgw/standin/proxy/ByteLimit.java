package org.marjoramgw.standin.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limit on the bytes that a link forwards in one direction; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class ByteLimit {

	private static final long UNLIMITED = Long.MAX_VALUE;

	private final AtomicLong remainingBytes = new AtomicLong(UNLIMITED);

	private final AtomicLong forwardedBytes = new AtomicLong();

	void set(long bytes) {
		this.remainingBytes.set((bytes > 0) ? bytes : UNLIMITED);
	}

	/**
	 * Consumes the limit for bytes that are about to be forwarded.
	 * @param count number of bytes
	 * @return number of bytes that may be forwarded; if fewer than {@code count}, the
	 * connection must be closed
	 */
	int consume(int count) {
		long remaining = this.remainingBytes
			.getAndUpdate((bytes) -> (bytes == UNLIMITED) ? UNLIMITED : Math.max(bytes - count, 0));
		int forwarded = (int) Math.min(remaining, count);
		this.forwardedBytes.addAndGet(forwarded);
		return forwarded;
	}

	/**
	 * Tells whether a connection must be closed after it forwarded bytes. A connection
	 * that forwarded fewer bytes than it had read must be closed even if another one has
	 * cleared the limit meanwhile, as its further bytes would follow a gap.
	 * @param count number of bytes that were read
	 * @param forwarded number of bytes that were forwarded
	 * @return whether to close the connection
	 */
	boolean mustCloseAfter(int count, int forwarded) {
		return forwarded < count || this.remainingBytes.get() == 0;
	}

	/**
	 * Removes the limit, so that connections made after the cut are forwarded.
	 */
	void clear() {
		this.remainingBytes.set(UNLIMITED);
	}

	long forwardedBytes() {
		return this.forwardedBytes.get();
	}

}
