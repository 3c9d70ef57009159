package org.marjoramgw;

import java.util.concurrent.TimeUnit;

/**
 * Monotonic clock that starts at the wall-clock time of its construction.
 *
 * @author The marjoramgw authors
 */
public final class SystemMillisClock implements MillisClock {

	private final long startMillis = System.currentTimeMillis();

	private final long startNanos = System.nanoTime();

	@Override
	public long nowMillis() {
		return this.startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos);
	}

}
