package org.marjoramgw;

/**
 * Clock that moves only when told to; for deterministic use of the decision classes.
 *
 * @author The marjoramgw authors
 */
public final class ManualMillisClock implements MillisClock {

	private long nowMillis;

	/**
	 * Creates a clock.
	 * @param startMillis the first reading, in milliseconds
	 */
	public ManualMillisClock(long startMillis) {
		this.nowMillis = startMillis;
	}

	@Override
	public long nowMillis() {
		return this.nowMillis;
	}

	/**
	 * Moves the clock forward.
	 * @param millis the step, in milliseconds, not negative
	 */
	public void advanceMillis(long millis) {
		this.nowMillis += millis;
	}

}
