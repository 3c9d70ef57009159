package org.marjoramgw.config.internal;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.hash.Hashing;

/**
 * JSON form of the records of the stream {@code config}.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationRecordCodec {

	/** Name of the stream. */
	public static final String STREAM = "config";

	private final ObjectMapper mapper = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.build();

	/**
	 * Encodes a record.
	 * @param record the record
	 * @return one line of JSON
	 */
	public String encode(ConfigurationRecord record) {
		try {
			return this.mapper.writerFor(ConfigurationRecord.class).writeValueAsString(record);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("record can't be encoded", ex);
		}
	}

	/**
	 * Decodes a record.
	 * @param data text of the record
	 * @return the record, or empty if the text is none; every reader ignores it alike
	 */
	public Optional<ConfigurationRecord> decode(String data) {
		try {
			return Optional.ofNullable(this.mapper.readValue(data, ConfigurationRecord.class));
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Computes the digest that a publish record carries.
	 * @param text the TOML text
	 * @return digest of its UTF-8 bytes, in lower-case hexadecimal
	 */
	public static String sha256(String text) {
		return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
	}

}
