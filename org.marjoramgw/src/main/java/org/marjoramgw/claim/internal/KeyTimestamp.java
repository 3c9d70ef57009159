package org.marjoramgw.claim.internal;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * Extracts the creation time from an idempotency key that is a version 7 UUID.
 *
 * @author The marjoramgw authors
 */
public final class KeyTimestamp {

	private static final Pattern VERSION_7 = Pattern
		.compile("[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

	private static final int RADIX = 16;

	private KeyTimestamp() {
	}

	/**
	 * Returns the creation time of a key.
	 * @param key the idempotency key
	 * @return the time in milliseconds since the Unix epoch, or empty if the key isn't a
	 * version 7 UUID
	 */
	public static OptionalLong of(String key) {
		if (!VERSION_7.matcher(key).matches()) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(Long.parseLong(key.substring(0, 8) + key.substring(9, 13), RADIX));
	}

}
