package org.marjoramgw.standin;

import org.marjoramgw.MillisClock;

/**
 * Limit of a rate with a burst; thread-safe.
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
	 * @param tokensPerSecond rate, per second
	 * @param burstCount how many may come at once
	 */
	public TokenBucket(MillisClock clock, double tokensPerSecond, double burstCount) {
		this.clock = clock;
		this.tokensPerSecond = tokensPerSecond;
		this.burstCount = burstCount;
		this.tokens = burstCount;
		this.refilledAtMillis = clock.nowMillis();
	}

	/**
	 * Takes one token.
	 * @return whether there was one
	 */
	public synchronized boolean tryAcquire() {
		long now = this.clock.nowMillis();
		double gained = (now - this.refilledAtMillis) * this.tokensPerSecond / MILLIS_PER_SECOND;
		this.tokens = Math.min(this.burstCount, this.tokens + gained);
		this.refilledAtMillis = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
