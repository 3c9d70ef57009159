package org.marjoramgw;

/**
 * Clock that advances only when told to, for deterministic simulations and tests.
 *
 * @author The marjoramgw authors
 */
public final class ManualMillisClock implements MillisClock {

	private long nowMillis;

	/**
	 * Creates a clock.
	 * @param startMillis initial time, in milliseconds
	 */
	public ManualMillisClock(long startMillis) {
		this.nowMillis = startMillis;
	}

	@Override
	public long nowMillis() {
		return this.nowMillis;
	}

	/**
	 * Advances the clock.
	 * @param millis time to add, in milliseconds, not negative
	 */
	public void advanceMillis(long millis) {
		this.nowMillis += millis;
	}

}
