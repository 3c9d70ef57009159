package org.marjoramgw.direct.forward;

import java.util.function.LongSupplier;

/**
 * Measures the longest time that the reader of a stream waited for its server after the
 * first bytes. Time in which the reader itself didn't read is left out.
 * <p>
 * Used by one thread at a time.
 *
 * @author The marjoramgw authors
 */
final class PauseMeter {

	private final LongSupplier nowMillis;

	private boolean started;

	private long demandMillis;

	private volatile long longestMillis;

	/**
	 * Creates a meter.
	 * @param nowMillis current time of a monotonic clock, in milliseconds
	 */
	PauseMeter(LongSupplier nowMillis) {
		this.nowMillis = nowMillis;
	}

	/**
	 * Records that the reader waits for bytes.
	 */
	void onDemand() {
		this.demandMillis = this.nowMillis.getAsLong();
	}

	/**
	 * Records that bytes arrived.
	 */
	void onBytes() {
		if (this.started) {
			this.longestMillis = Math.max(this.longestMillis, this.nowMillis.getAsLong() - this.demandMillis);
		}
		this.started = true;
	}

	/**
	 * Returns the longest pause.
	 * @return time in milliseconds, 0 if there was no pause
	 */
	long longestMillis() {
		return this.longestMillis;
	}

}
