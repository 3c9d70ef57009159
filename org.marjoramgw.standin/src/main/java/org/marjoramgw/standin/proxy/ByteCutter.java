package org.marjoramgw.standin.proxy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Countdown of the bytes that a link still passes one way; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class ByteCutter {

	private static final long UNLIMITED = Long.MAX_VALUE;

	private final AtomicLong leftBytes = new AtomicLong(UNLIMITED);

	private final AtomicLong passedBytes = new AtomicLong();

	void arm(long bytes) {
		this.leftBytes.set((bytes > 0) ? bytes : UNLIMITED);
	}

	/**
	 * Takes bytes that are about to be passed.
	 * @param count how many there are
	 * @return how many of them may pass; fewer than {@code count} cuts the connection
	 */
	int take(int count) {
		long left = this.leftBytes
			.getAndUpdate((bytes) -> (bytes == UNLIMITED) ? UNLIMITED : Math.max(bytes - count, 0));
		int passed = (int) Math.min(left, count);
		this.passedBytes.addAndGet(passed);
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
	boolean isCutAfter(int count, int passed) {
		return passed < count || this.leftBytes.get() == 0;
	}

	/**
	 * Takes the limit off, so that connections made after the cut pass.
	 */
	void disarm() {
		this.leftBytes.set(UNLIMITED);
	}

	long passedBytes() {
		return this.passedBytes.get();
	}

}
