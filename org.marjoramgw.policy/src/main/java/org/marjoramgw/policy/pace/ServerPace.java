package org.marjoramgw.policy.pace;

/**
 * Pace at which a backend server generates.
 *
 * @param eventsPerSecond events of a stream in a second while no prompt is prefilled
 * @param ratio ratio to the median of the servers of its service
 * @param longPauseMillis usual long pause between events, in milliseconds
 * @param longPauseRatio ratio to the median of the servers of its service
 * @author The marjoramgw authors
 */
public record ServerPace(double eventsPerSecond, double ratio, double longPauseMillis, double longPauseRatio) {

	/**
	 * Ratio of the pace above which a server counts as fast as the others. The pace also
	 * depends on the load, so that servers of the same kind differ by some tens of
	 * percent.
	 */
	private static final double SLOW_RATIO = 0.6;

	/** Ratio of the long pause below which a server counts as fast as the others. */
	private static final double SLOW_LONG_PAUSE_RATIO = 1.5;

	/**
	 * Steps of the weight for each factor of two. A weight that followed each measurement
	 * would move prompts away from their caches again and again.
	 */
	private static final double WEIGHT_STEPS = 4;

	/**
	 * Tells whether the server is much slower than the others. A server that prefills
	 * prompts without a break has no short pauses, and one that prefills more than others
	 * has more long ones; only both together tell that the server itself is slow.
	 * @return whether it is
	 */
	public boolean isSlow() {
		return this.ratio < SLOW_RATIO && this.longPauseRatio > SLOW_LONG_PAUSE_RATIO;
	}

	/**
	 * Returns the share of work that the server should get.
	 * @return weight, 1 for a server that isn't slow
	 */
	public double weight() {
		if (!isSlow()) {
			return 1;
		}
		double steps = Math.rint(WEIGHT_STEPS * Math.log(this.ratio) / Math.log(2));
		return Math.pow(2, steps / WEIGHT_STEPS);
	}

}
