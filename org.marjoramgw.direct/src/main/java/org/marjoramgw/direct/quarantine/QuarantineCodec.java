package org.marjoramgw.direct.quarantine;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.policy.quarantine.CrashReport;
import org.marjoramgw.policy.quarantine.PromptPartKey;
import org.marjoramgw.policy.quarantine.Verdict;
import org.marjoramgw.policy.quarantine.VerdictChange;
import org.marjoramgw.policy.quarantine.Witness;

/**
 * JSON codec of the records in the topic of the quarantine.
 * <p>
 * All crash reports have one key, so that the store retains few of them. Each part with a
 * verdict has a key of its own, which is deleted when the part is cleared. Malformed
 * records are ignored.
 *
 * @author The marjoramgw authors
 */
final class QuarantineCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String CRASH_KEY = "crash";

	private static final String VERDICT_PREFIX = "verdict/";

	private static final int MAX_WITNESSES = 64;

	private static final int MAX_PARTS = 64;

	private QuarantineCodec() {
	}

	static KeyedRecord encode(CrashReport report, long ageMillis, String reporter) {
		ObjectNode value = MAPPER.createObjectNode();
		value.put("reporter", reporter);
		value.put("server", report.server());
		value.put("age_ms", ageMillis);
		ArrayNode witnesses = value.putArray("witnesses");
		report.witnesses().stream().limit(MAX_WITNESSES).forEach((witness) -> {
			ObjectNode node = witnesses.addObject();
			node.put("prompt", witness.prompt());
			node.put("answering", witness.answering());
			ArrayNode parts = node.putArray("parts");
			witness.suspects().stream().limit(MAX_PARTS).forEach((part) -> {
				node.put("model", part.model());
				parts.add(part.part());
			});
		});
		return record(CRASH_KEY, Optional.of(value));
	}

	static KeyedRecord encode(VerdictChange change) {
		return record(VERDICT_PREFIX + change.part(), change.verdict().map((verdict) -> {
			ObjectNode value = MAPPER.createObjectNode();
			value.put("term", verdict.term());
			value.put("start_ms", verdict.startMillis());
			value.put("author", verdict.author());
			ArrayNode servers = value.putArray("servers");
			verdict.servers().forEach(servers::add);
			return value;
		}));
	}

	static boolean isCrash(KeyedRecord record) {
		return record.key().equals(CRASH_KEY);
	}

	/**
	 * Decodes the part that a verdict is about.
	 * @param record the record
	 * @return the part, or empty if the record is no verdict
	 */
	static Optional<PromptPartKey> decodePart(KeyedRecord record) {
		int slash = record.key().lastIndexOf('/');
		if (!record.key().startsWith(VERDICT_PREFIX) || slash < VERDICT_PREFIX.length()) {
			return Optional.empty();
		}
		return Optional.of(new PromptPartKey(record.key().substring(VERDICT_PREFIX.length(), slash),
				record.key().substring(slash + 1)));
	}

	static Optional<Verdict> decodeVerdict(KeyedRecord record) {
		return decodePart(record).flatMap((part) -> read(record).map((value) -> new Verdict(part,
				Math.max(Verdict.PROVISIONAL_TERM, value.path("term").asInt(Verdict.FIRST_TERM)),
				value.path("start_ms").asLong(), value.path("author").asText(), texts(value.path("servers")))));
	}

	static String decodeReporter(KeyedRecord record) {
		return read(record).map((value) -> value.path("reporter").asText()).orElse("");
	}

	static Optional<CrashReport> decodeReport(KeyedRecord record) {
		return read(record).filter((value) -> value.path("server").isTextual()).map((value) -> {
			List<Witness> witnesses = new ArrayList<>();
			for (JsonNode node : value.path("witnesses")) {
				String model = node.path("model").asText();
				List<PromptPartKey> suspects = texts(node.path("parts")).stream()
					.map((part) -> new PromptPartKey(model, part))
					.toList();
				witnesses.add(new Witness(node.path("prompt").asText(), suspects, node.path("answering").asBoolean()));
			}
			return new CrashReport(value.path("server").asText(), value.path("age_ms").asLong(), witnesses);
		});
	}

	private static List<String> texts(JsonNode array) {
		List<String> texts = new ArrayList<>();
		array.forEach((node) -> texts.add(node.asText()));
		return texts;
	}

	private static KeyedRecord record(String key, Optional<ObjectNode> value) {
		return new KeyedRecord(key, value.map((node) -> node.toString().getBytes(StandardCharsets.UTF_8)), 0);
	}

	private static Optional<JsonNode> read(KeyedRecord record) {
		try {
			return record.value().isPresent() ? Optional.of(MAPPER.readTree(record.value().get())) : Optional.empty();
		}
		catch (IOException ex) {
			// Another writer's record; it accuses nobody.
			return Optional.empty();
		}
	}

}
