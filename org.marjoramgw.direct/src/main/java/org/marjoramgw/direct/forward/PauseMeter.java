package org.marjoramgw.direct.forward;

import java.util.function.LongConsumer;
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

	private final long maxPauseMillis;

	private final Runnable onLate;

	private final LongConsumer onPause;

	private boolean started;

	private long demandMillis;

	private volatile long longestMillis;

	/**
	 * Creates a meter.
	 * @param nowMillis current time of a monotonic clock, in milliseconds
	 * @param maxPauseMillis longest pause that is in time, in milliseconds
	 * @param onLate called once, at the first pause that is longer
	 * @param onPause called with each pause, in milliseconds
	 */
	PauseMeter(LongSupplier nowMillis, long maxPauseMillis, Runnable onLate, LongConsumer onPause) {
		this.onPause = onPause;
		this.nowMillis = nowMillis;
		this.maxPauseMillis = maxPauseMillis;
		this.onLate = onLate;
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
			long pauseMillis = this.nowMillis.getAsLong() - this.demandMillis;
			if (pauseMillis > this.maxPauseMillis && this.longestMillis <= this.maxPauseMillis) {
				this.onLate.run();
			}
			this.longestMillis = Math.max(this.longestMillis, pauseMillis);
			this.onPause.accept(pauseMillis);
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
