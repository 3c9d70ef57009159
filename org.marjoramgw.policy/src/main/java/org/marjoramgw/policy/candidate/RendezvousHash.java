package org.marjoramgw.policy.candidate;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * Rendezvous hashing. Each key ranks the nodes, so that the loss of a node moves only the
 * keys of that node.
 *
 * @author The marjoramgw authors
 */
public final class RendezvousHash {

	private static final double TWO_POW_MINUS_64 = 0x1p-64;

	private static final HashFunction HASH = Hashing.murmur3_128(17);

	private RendezvousHash() {
	}

	/**
	 * Ranks nodes for a key.
	 * @param key the key
	 * @param nodes names of the nodes
	 * @param count maximum number of nodes
	 * @return the nodes with the highest scores, the highest first
	 */
	public static List<String> top(String key, Collection<String> nodes, int count) {
		return nodes.stream()
			.sorted(Comparator.comparingLong((String node) -> score(key, node))
				.reversed()
				.thenComparing((node) -> node))
			.limit(count)
			.toList();
	}

	/**
	 * Scores a node for a key.
	 * @param key the key
	 * @param node name of the node
	 * @return the score
	 */
	public static long score(String key, String node) {
		return HASH.newHasher()
			.putString(key, StandardCharsets.UTF_8)
			.putChar('\u0000')
			.putString(node, StandardCharsets.UTF_8)
			.hash()
			.asLong();
	}

	/**
	 * Scores a node with a weight for a key. Each node has the highest score for its
	 * share of the keys; with equal weights the order is that of {@link #score}.
	 * @param key the key
	 * @param node name of the node
	 * @param weight weight of the node, above 0
	 * @return the score
	 */
	public static double weightedScore(String key, String node, double weight) {
		double uniform = score(key, node) * TWO_POW_MINUS_64 + 0.5;
		return Math.log(Math.max(Double.MIN_NORMAL, uniform)) / weight;
	}

}
