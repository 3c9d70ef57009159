package org.marjoramgw.claim.internal;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/**
 * First half of a SHA-256 digest, used in memory to identify a key or a request.
 *
 * @param high first eight bytes
 * @param low next eight bytes
 * @author The marjoramgw authors
 */
public record TruncatedSha256(long high, long low) {

	private static final int TEXT_LENGTH = 32;

	private static final int HALF_LENGTH = 16;

	private static final int RADIX = 16;

	/**
	 * Computes the hash of a key within its account.
	 * @param account name of the client account
	 * @param key the idempotency key
	 * @return the hash
	 */
	public static TruncatedSha256 of(String account, String key) {
		String text = account.length() + ":" + account + key;
		ByteBuffer digest = ByteBuffer.wrap(Hashing.sha256().hashString(text, StandardCharsets.UTF_8).asBytes());
		return new TruncatedSha256(digest.getLong(), digest.getLong());
	}

	/**
	 * Parses the leading digits of a hexadecimal digest.
	 * @param digits at least 32 hexadecimal digits
	 * @return the hash
	 * @throws IllegalArgumentException if the text is too short or not hexadecimal
	 */
	public static TruncatedSha256 parse(String digits) {
		if (digits.length() < TEXT_LENGTH) {
			throw new IllegalArgumentException("fewer than 32 hexadecimal digits: " + digits);
		}
		long high = Long.parseUnsignedLong(digits.substring(0, HALF_LENGTH), RADIX);
		long low = Long.parseUnsignedLong(digits.substring(HALF_LENGTH, TEXT_LENGTH), RADIX);
		return new TruncatedSha256(high, low);
	}

	@Override
	public String toString() {
		return String.format("%016x%016x", this.high, this.low);
	}

}
