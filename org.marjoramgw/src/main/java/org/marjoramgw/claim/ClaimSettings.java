package org.marjoramgw.claim;

/**
 * Settings of a claim store.
 *
 * @param partitionCount number of log streams that the keys are partitioned over; the
 * same in every process
 * @param windowMillis how long a claim is retained, in milliseconds; shorter than the
 * log's retention
 * @param waitMillis timeout of a claim, in milliseconds
 * @param appendIntervalMillis minimum time between two appends to one partition, in
 * milliseconds
 * @param maxKeys maximum number of keys retained for one partition
 * @param maxResultBytes maximum size of a recorded response body, in bytes
 * @author The marjoramgw authors
 */
public record ClaimSettings(int partitionCount, long windowMillis, long waitMillis, long appendIntervalMillis,
		int maxKeys, int maxResultBytes) {

	private static final long WINDOW_MILLIS = 900_000;

	private static final long WAIT_MILLIS = 1_500;

	private static final long APPEND_INTERVAL_MILLIS = 50;

	private static final int MAX_KEYS = 10_000;

	private static final int MAX_RESULT_BYTES = 8 * 1024;

	/**
	 * Returns the default settings for a number of partitions.
	 * @param partitionCount number of partitions
	 * @return the settings
	 */
	public static ClaimSettings of(int partitionCount) {
		return new ClaimSettings(partitionCount, WINDOW_MILLIS, WAIT_MILLIS, APPEND_INTERVAL_MILLIS, MAX_KEYS,
				MAX_RESULT_BYTES);
	}

}
