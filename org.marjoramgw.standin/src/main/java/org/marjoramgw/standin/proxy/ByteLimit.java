package org.marjoramgw.standin.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Countdown of the bytes that a link still passes one way; thread-safe.
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
	 * Takes bytes that are about to be passed.
	 * @param count how many there are
	 * @return how many of them may pass; fewer than {@code count} cuts the connection
	 */
	int consume(int count) {
		long left = this.remainingBytes
			.getAndUpdate((bytes) -> (bytes == UNLIMITED) ? UNLIMITED : Math.max(bytes - count, 0));
		int passed = (int) Math.min(left, count);
		this.forwardedBytes.addAndGet(passed);
		return passed;
	}

	/**
	 * Tells whether a connection is cut after it passed bytes. One that passed fewer than
	 * it had must be: another connection may have taken the limit off meanwhile, and what
	 * came next would follow a gap.
	 * @param count how many bytes there were
	 * @param passed how many of them were passed
	 * @return whether to cut it
	 */
	boolean mustCloseAfter(int count, int passed) {
		return passed < count || this.remainingBytes.get() == 0;
	}

	/**
	 * Takes the limit off, so that connections made after the cut pass.
	 */
	void clear() {
		this.remainingBytes.set(UNLIMITED);
	}

	long forwardedBytes() {
		return this.forwardedBytes.get();
	}

}
