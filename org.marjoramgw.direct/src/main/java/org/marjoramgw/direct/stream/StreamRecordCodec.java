package org.marjoramgw.direct.stream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.policy.stream.StreamOrigin;
import org.marjoramgw.policy.stream.StreamRecord;
import org.marjoramgw.policy.stream.VersionMark;

/**
 * JSON codec of the records in the topic of the streams. Malformed records are ignored.
 *
 * @author The marjoramgw authors
 */
final class StreamRecordCodec {

	private static final String MARK_PREFIX = "versions/";

	private static final String STREAMS_PREFIX = "streams/";

	private static final int HEX = 16;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private StreamRecordCodec() {
	}

	/**
	 * Returns the key of a stream.
	 * @param requestId id of the request that brought its first event
	 * @return the first bytes of a digest, since callers choose ids of any length
	 */
	static long key(String requestId) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(requestId.getBytes(StandardCharsets.UTF_8));
			return ByteBuffer.wrap(digest).getLong();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	static KeyedRecord encodeMark(String processId, VersionMark mark) {
		ObjectNode value = MAPPER.createObjectNode();
		mark.untilMillis().forEach((service, versions) -> {
			ObjectNode untilMillis = value.putObject(service);
			versions.forEach(untilMillis::put);
		});
		return record(MARK_PREFIX + processId, value);
	}

	static Optional<MarkOfProcess> decodeMark(KeyedRecord record) {
		if (!record.key().startsWith(MARK_PREFIX)) {
			return Optional.empty();
		}
		return value(record).map((value) -> {
			Map<String, Map<String, Long>> untilMillis = new HashMap<>();
			value.fields().forEachRemaining((service) -> {
				Map<String, Long> versions = new HashMap<>();
				service.getValue()
					.fields()
					.forEachRemaining((version) -> versions.put(version.getKey(), version.getValue().asLong()));
				untilMillis.put(service.getKey(), versions);
			});
			return new MarkOfProcess(record.key().substring(MARK_PREFIX.length()), new VersionMark(untilMillis));
		});
	}

	/**
	 * Encodes streams that have begun.
	 * @param processId id of this process
	 * @param slot slot of the record, which replaces the one before it
	 * @param nowMillis present time, in milliseconds since the Unix epoch
	 * @param streams the streams
	 * @return the record
	 */
	static KeyedRecord encodeStreams(String processId, long slot, long nowMillis, List<StreamRecord> streams) {
		ObjectNode value = MAPPER.createObjectNode();
		value.put("at", nowMillis);
		ArrayNode rows = value.putArray("rows");
		Map<StreamOrigin, ArrayNode> keys = new LinkedHashMap<>();
		for (StreamRecord stream : streams) {
			keys.computeIfAbsent(stream.origin(), (origin) -> {
				ObjectNode row = rows.addObject();
				row.put("service", origin.service());
				row.put("version", origin.version().orElse(null));
				return row.putArray("keys");
			}).add(Long.toHexString(stream.key()));
		}
		return record(STREAMS_PREFIX + processId + "/" + slot, value);
	}

	static Optional<Streams> decodeStreams(KeyedRecord record) {
		if (!record.key().startsWith(STREAMS_PREFIX)) {
			return Optional.empty();
		}
		try {
			return value(record).map((value) -> new Streams(value.path("at").asLong(), streams(value.path("rows"))));
		}
		catch (NumberFormatException ex) {
			return Optional.empty();
		}
	}

	private static List<StreamRecord> streams(JsonNode rows) {
		List<StreamRecord> streams = new ArrayList<>();
		for (JsonNode row : rows) {
			JsonNode version = row.path("version");
			StreamOrigin origin = new StreamOrigin(row.path("service").asText(),
					version.isTextual() ? Optional.of(version.asText()) : Optional.empty());
			row.path("keys")
				.forEach((key) -> streams.add(new StreamRecord(Long.parseUnsignedLong(key.asText(), HEX), origin)));
		}
		return streams;
	}

	private static KeyedRecord record(String key, ObjectNode value) {
		return new KeyedRecord(key, Optional.of(value.toString().getBytes(StandardCharsets.UTF_8)), 0);
	}

	private static Optional<JsonNode> value(KeyedRecord record) {
		try {
			return record.value().isEmpty() ? Optional.empty()
					: Optional.of(MAPPER.readTree(record.value().get())).filter(JsonNode::isObject);
		}
		catch (IOException ex) {
			// Another writer's record; it names no stream.
			return Optional.empty();
		}
	}

	/**
	 * Mark and the process that wrote it.
	 *
	 * @param processId id of the process
	 * @param mark the mark
	 */
	record MarkOfProcess(String processId, VersionMark mark) {
	}

	/**
	 * Streams that had begun.
	 *
	 * @param atMillis when they were recorded, in milliseconds since the Unix epoch
	 * @param streams the streams
	 */
	record Streams(long atMillis, List<StreamRecord> streams) {
	}

}
