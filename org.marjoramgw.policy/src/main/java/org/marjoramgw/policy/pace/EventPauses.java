package org.marjoramgw.policy.pace;

import java.util.Arrays;

/**
 * Pauses between the events of one stream, from which the pace of its server is measured.
 * Not thread-safe.
 * <p>
 * The measurement is a low quantile of some consecutive pauses: longer ones are due to
 * prompts that the server prefills in between, which tell about its load and not its
 * pace.
 *
 * @author The marjoramgw authors
 */
public final class EventPauses {

	/** Pauses of one measurement. */
	private static final int COUNT = 10;

	/** Rank of the pause that is the measurement, from the shortest. */
	private static final int RANK = 1;

	/**
	 * Shortest pause that counts, in milliseconds; events that arrive together would
	 * otherwise make a server infinitely fast.
	 */
	private static final long MIN_MILLIS = 1;

	private final long[] latest = new long[COUNT];

	private int count;

	/**
	 * Records a pause.
	 * @param millis time between two events, in milliseconds
	 * @return the measured pace in events per second, 0 if more pauses are needed
	 */
	public double add(long millis) {
		this.latest[this.count++] = Math.max(MIN_MILLIS, millis);
		if (this.count < COUNT) {
			return 0;
		}
		this.count = 0;
		Arrays.sort(this.latest);
		return 1_000.0 / this.latest[RANK];
	}

}
