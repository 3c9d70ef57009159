package org.marjoramgw.standin;

import org.marjoramgw.MillisClock;

/**
 * Token bucket rate limiter; thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class TokenBucket {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final MillisClock clock;

	private final double tokensPerSecond;

	private final double burstCount;

	private double tokens;

	private long refilledAtMillis;

	/**
	 * Creates a full bucket.
	 * @param clock the clock
	 * @param tokensPerSecond refill rate, in tokens per second
	 * @param burstCount capacity of the bucket, in tokens
	 */
	public TokenBucket(MillisClock clock, double tokensPerSecond, double burstCount) {
		this.clock = clock;
		this.tokensPerSecond = tokensPerSecond;
		this.burstCount = burstCount;
		this.tokens = burstCount;
		this.refilledAtMillis = clock.nowMillis();
	}

	/**
	 * Acquires one token if one is available.
	 * @return whether a token was acquired
	 */
	public synchronized boolean tryAcquire() {
		long now = this.clock.nowMillis();
		double refill = (now - this.refilledAtMillis) * this.tokensPerSecond / MILLIS_PER_SECOND;
		this.tokens = Math.min(this.burstCount, this.tokens + refill);
		this.refilledAtMillis = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
