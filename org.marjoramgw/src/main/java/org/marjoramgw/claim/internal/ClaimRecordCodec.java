package org.marjoramgw.claim.internal;

import java.util.Optional;

import org.marjoramgw.log.JsonRecordCodec;

/**
 * JSON codec for the records of a claim stream.
 *
 * @author The marjoramgw authors
 */
public final class ClaimRecordCodec {

	private final JsonRecordCodec<ClaimRecord> json = new JsonRecordCodec<>(ClaimRecord.class);

	/**
	 * Encodes a record.
	 * @param record the record
	 * @return one line of JSON
	 */
	public String encode(ClaimRecord record) {
		return this.json.encode(record);
	}

	/**
	 * Decodes a record.
	 * @param data text of the record
	 * @return the record, or empty if the text isn't a valid record or has a malformed
	 * hash; all readers ignore the same records
	 */
	public Optional<ClaimRecord> decode(String data) {
		return this.json.decode(data).filter(ClaimRecordCodec::hasHashes);
	}

	private static boolean hasHashes(ClaimRecord record) {
		try {
			TruncatedSha256.parse(record.key());
			if (record instanceof ClaimRecord.Claim claim) {
				TruncatedSha256.parse(claim.request());
			}
			return true;
		}
		catch (IllegalArgumentException ex) {
			return false;
		}
	}

}
