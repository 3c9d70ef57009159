package org.marjoramgw.claim;

import org.marjoramgw.claim.internal.TruncatedSha256;

/**
 * Mapping of idempotency keys to partitions and of partitions to log streams.
 *
 * @author The marjoramgw authors
 */
public final class ClaimPartitions {

	private ClaimPartitions() {
	}

	/**
	 * Returns the partition of a key.
	 * @param account name of the client account
	 * @param key the idempotency key
	 * @param partitionCount number of partitions
	 * @return index of the partition, from 0
	 */
	public static int partitionOf(String account, String key, int partitionCount) {
		return (int) Long.remainderUnsigned(TruncatedSha256.of(account, key).high(), partitionCount);
	}

	/**
	 * Returns the name of the stream for a key. Entry processes also rank side processes
	 * by this name, so that only a few side processes read each partition.
	 * @param account name of the client account
	 * @param key the idempotency key
	 * @param partitionCount number of partitions
	 * @return name of the stream, for example {@code claims-3}
	 */
	public static String streamOf(String account, String key, int partitionCount) {
		return streamOf(partitionOf(account, key, partitionCount));
	}

	/**
	 * Returns the name of the stream for a partition.
	 * @param partition index of the partition
	 * @return name of the stream
	 */
	public static String streamOf(int partition) {
		return "claims-" + partition;
	}

}
