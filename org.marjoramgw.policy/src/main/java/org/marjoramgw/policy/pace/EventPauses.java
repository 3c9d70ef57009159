package org.marjoramgw.policy.pace;

import java.util.Arrays;
import java.util.Optional;

/**
 * Pauses between the events of one stream, from which the pace of its server is measured.
 * Not thread-safe.
 * <p>
 * The shorter ones of some consecutive pauses tell how fast the server generates, the
 * longer ones how long it takes when it prefills prompts in between.
 *
 * @author The marjoramgw authors
 */
public final class EventPauses {

	/** Pauses of one measurement. */
	private static final int COUNT = 10;

	/** Index of the short pause of a measurement, in ascending order. */
	private static final int SHORT_INDEX = 1;

	/** Index of the long pause. The longest may be due to this process. */
	private static final int LONG_INDEX = COUNT - 2;

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
	 * @return the measurement, or empty if more pauses are needed
	 */
	public Optional<PaceMeasurement> add(long millis) {
		this.latest[this.count++] = Math.max(MIN_MILLIS, millis);
		if (this.count < COUNT) {
			return Optional.empty();
		}
		this.count = 0;
		Arrays.sort(this.latest);
		return Optional.of(new PaceMeasurement(1_000.0 / this.latest[SHORT_INDEX],
				(int) Math.min(Integer.MAX_VALUE, this.latest[LONG_INDEX])));
	}

}
