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

}
