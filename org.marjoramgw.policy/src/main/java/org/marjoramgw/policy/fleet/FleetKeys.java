package org.marjoramgw.policy.fleet;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * Short keys that stand for servers and parts of prompts in digests. A collision makes a
 * placement worse but breaks no promise.
 *
 * @author The marjoramgw authors
 */
public final class FleetKeys {

	private static final HashFunction HASH = Hashing.murmur3_32_fixed();

	private FleetKeys() {
	}

	/**
	 * Returns the key of one run of a backend server.
	 * @param incarnation identity of the run
	 * @return the key
	 */
	public static int serverKey(String incarnation) {
		return HASH.hashString(incarnation, StandardCharsets.UTF_8).asInt();
	}

	/**
	 * Returns the key of a shared part of a prompt. A part is cached only together with
	 * all parts before it.
	 * @param previousKey key of the part before it, 0 for the first one
	 * @param partId id of the part
	 * @return the key
	 */
	public static int partKey(int previousKey, String partId) {
		return HASH.newHasher().putInt(previousKey).putString(partId, StandardCharsets.UTF_8).hash().asInt();
	}

	/**
	 * Returns the key of a part at a server.
	 * @param partKey key of the part
	 * @param serverKey key of the server
	 * @return both keys in one number
	 */
	public static long partAtServer(int partKey, int serverKey) {
		return ((long) partKey << Integer.SIZE) | Integer.toUnsignedLong(serverKey);
	}

}
