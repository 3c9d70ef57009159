package org.marjoramgw.log;

import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * JSON codec for the records of a stream; thread-safe.
 *
 * @param <T> type of the records
 * @author The marjoramgw authors
 */
public final class JsonRecordCodec<T> {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.build();

	private final ObjectWriter writer;

	private final ObjectReader reader;

	/**
	 * Creates a codec.
	 * @param type type of the records
	 */
	public JsonRecordCodec(Class<T> type) {
		this.writer = MAPPER.writerFor(type);
		this.reader = MAPPER.readerFor(type);
	}

	/**
	 * Encodes a record.
	 * @param record the record
	 * @return one line of JSON
	 */
	public String encode(T record) {
		try {
			return this.writer.writeValueAsString(record);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("can't encode a record", ex);
		}
	}

	/**
	 * Decodes a record.
	 * @param data text of the record
	 * @return the record, or empty if the text isn't a valid record; all readers ignore
	 * the same records
	 */
	public Optional<T> decode(String data) {
		try {
			T record = this.reader.readValue(data);
			return Optional.ofNullable(record);
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
