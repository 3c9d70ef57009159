package org.marjoramgw.config.internal;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.google.common.hash.Hashing;
import org.marjoramgw.log.JsonRecordCodec;

/**
 * JSON codec for the records of the stream {@code config}.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationRecordCodec {

	/** Name of the stream. */
	public static final String STREAM = "config";

	private final JsonRecordCodec<ConfigurationRecord> json = new JsonRecordCodec<>(ConfigurationRecord.class);

	/**
	 * Encodes a record.
	 * @param record the record
	 * @return one line of JSON
	 */
	public String encode(ConfigurationRecord record) {
		return this.json.encode(record);
	}

	/**
	 * Decodes a record.
	 * @param data text of the record
	 * @return the record, or empty if the text isn't a valid record; all readers ignore
	 * the same records
	 */
	public Optional<ConfigurationRecord> decode(String data) {
		return this.json.decode(data);
	}

	/**
	 * Computes the digest of a publish record.
	 * @param text the TOML text
	 * @return the SHA-256 digest of the text's UTF-8 bytes, in lower-case hexadecimal
	 */
	public static String sha256(String text) {
		return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
	}

}
