package org.marjoramgw.claim;

import org.marjoramgw.claim.internal.TruncatedSha256;

/**
 * Partitions that the idempotency keys are spread over.
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
	 * @return the number of its partition, from 0
	 */
	public static int partitionOf(String account, String key, int partitionCount) {
		return (int) Long.remainderUnsigned(TruncatedSha256.of(account, key).high(), partitionCount);
	}

	/**
	 * Returns the stream of a key; entries rank side processes by it, so that few
	 * processes read one partition.
	 * @param account name of the client account
	 * @param key the idempotency key
	 * @param partitionCount number of partitions
	 * @return name of the stream, for example {@code claims-3}
	 */
	public static String streamOf(String account, String key, int partitionCount) {
		return streamOf(partitionOf(account, key, partitionCount));
	}

	/**
	 * Returns the stream of a partition.
	 * @param partition number of the partition
	 * @return name of the stream
	 */
	public static String streamOf(int partition) {
		return "claims-" + partition;
	}

}
