package org.marjoramgw.claim;

/**
 * Bounds of a claim book.
 *
 * @param partitionCount number of streams that the keys are spread over; the same in
 * every process
 * @param windowMillis how long a key is remembered, in milliseconds; less than the log's
 * retention
 * @param waitMillis longest wait for a verdict, in milliseconds
 * @param appendIntervalMillis least time between two appends to one partition, in
 * milliseconds
 * @param maxKeys bound of the remembered keys of one partition
 * @param maxResultBytes bound of a recorded body, in bytes
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
	 * Returns the bounds for a number of partitions.
	 * @param partitionCount number of partitions
	 * @return the bounds
	 */
	public static ClaimSettings of(int partitionCount) {
		return new ClaimSettings(partitionCount, WINDOW_MILLIS, WAIT_MILLIS, APPEND_INTERVAL_MILLIS, MAX_KEYS,
				MAX_RESULT_BYTES);
	}

}
