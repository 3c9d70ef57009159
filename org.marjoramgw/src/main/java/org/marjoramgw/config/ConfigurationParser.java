package org.marjoramgw.config;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.Problem;
import org.marjoramgw.settings.TomlTable;

/**
 * Parser for the operators' TOML configuration that reports all errors at once.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationParser {

	/** Maximum size of a configuration text in UTF-8, in bytes. */
	public static final int MAX_TEXT_BYTES = 128 * 1024;

	private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	private static final int DEFAULT_BODY_BYTES = 1024 * 1024;

	private static final long MAX_TARGET_MILLIS = 600_000;

	private static final int MAX_COUNT = 10_000;

	private static final int LOWEST_TIER = 4;

	private static final String DIGEST_PATTERN = "[0-9a-f]{64}";

	private static final Set<String> SELECTORS = Set.of("late-binding", "random", "least-loaded", "power-of-two");

	private static final Set<String> QUEUE_ORDERS = Set.of("tiers", "fcfs");

	/**
	 * Parses and validates a configuration text.
	 * @param file file name used in messages
	 * @param revision revision of the text, or 0 if it isn't accepted yet
	 * @param text the TOML text
	 * @return the configuration
	 * @throws InvalidTomlException if the text has errors; it lists all of them
	 */
	public Configuration parse(String file, long revision, String text) throws InvalidTomlException {
		checkLength(file, text);
		TomlTable root = TomlTable.ofText(file, text);
		Limits limits = parseLimits(root.table("limits"));
		Map<String, Service> services = root.namedTables("services", ConfigurationParser::parseService);
		Map<String, RequestClass> classes = root.namedTables("classes", ConfigurationParser::parseRequestClass);
		Map<String, ClientAccount> accounts = root.namedTables("accounts", ConfigurationParser::parseAccount);
		List<ClassRule> rules = root.tables("rules", ConfigurationParser::parseRule);
		Configuration configuration = new Configuration(revision, services, classes, accounts, rules, limits);
		new ConfigurationValidator(root, configuration).validate();
		root.throwIfInvalid();
		return configuration;
	}

	private static void checkLength(String file, String text) throws InvalidTomlException {
		if (text.getBytes(StandardCharsets.UTF_8).length > MAX_TEXT_BYTES) {
			String expected = "at most " + MAX_TEXT_BYTES + " bytes";
			throw new InvalidTomlException(List.of(new Problem(ResultCode.BAD_VALUE, file, 0, "", expected)));
		}
	}

	private static Limits parseLimits(TomlTable table) {
		int bodyBytes = (int) table.number("body_bytes", DEFAULT_BODY_BYTES, 1, MAX_BODY_BYTES);
		String selector = table.choice("selector", "late-binding", SELECTORS);
		int candidateCount = (int) table.number("candidate_count", 3, 1, 16);
		long grantTimeoutMillis = table.number("grant_timeout_ms", 100, 1, 10_000);
		String queueOrder = table.choice("queue_order", "tiers", QUEUE_ORDERS);
		int slotCount = (int) table.number("slot_count", 8, 1, MAX_COUNT);
		int plainSlotCount = (int) table.number("plain_slot_count", 16, 1, MAX_COUNT);
		int minSlotCount = (int) table.number("min_slot_count", Math.min(2, slotCount), 1, slotCount);
		int headroomDefault = Math.min(1, slotCount - 1);
		int headroomSlotCount = (int) table.number("headroom_slot_count", headroomDefault, 0, slotCount - 1);
		boolean preemption = table.flag("preemption", true);
		int retryPercent = (int) table.number("retry_percent", 10, 0, 100);
		int subsetCount = (int) table.number("subset_count", 24, 1, MAX_COUNT);
		table.reportUnknownKeys();
		return new Limits(bodyBytes, selector, candidateCount, grantTimeoutMillis, queueOrder, slotCount,
				plainSlotCount, minSlotCount, headroomSlotCount, preemption, retryPercent, subsetCount);
	}

	private static Service parseService(String name, TomlTable table) {
		String kind = table.choice("kind", "model", Set.of("model", "plain"));
		return new Service(name, "model".equals(kind) ? ServiceKind.MODEL : ServiceKind.PLAIN, table.text("pool"),
				table.texts("models"), table.texts("depends_on"), table.texts("non_repeatable"),
				table.flag("checks_fencing", false));
	}

	private static RequestClass parseRequestClass(String name, TomlTable table) {
		int tier = (int) table.number("tier", 1, LOWEST_TIER);
		long completionMillis = table.number("completion_ms", 1, MAX_TARGET_MILLIS);
		long firstTokenMillis = table.number("first_token_ms", completionMillis, 1, MAX_TARGET_MILLIS);
		long tokenGapMillis = table.number("token_gap_ms", completionMillis, 1, MAX_TARGET_MILLIS);
		int floorPercent = (int) table.number("floor_percent", 1, 0, 100);
		int queueBound = (int) table.number("queue_bound_count", 64, 1, MAX_COUNT);
		return new RequestClass(name, tier, firstTokenMillis, tokenGapMillis, completionMillis, floorPercent,
				queueBound);
	}

	private static ClientAccount parseAccount(String name, TomlTable table) {
		String digest = table.text("key_sha256");
		if (!digest.matches(DIGEST_PATTERN)) {
			table.addProblem(ResultCode.BAD_VALUE, "key_sha256", "64 lower-case hexadecimal digits");
		}
		return new ClientAccount(name, digest, (int) table.number("weight", 1, 1, MAX_COUNT));
	}

	private static ClassRule parseRule(TomlTable table) {
		String account = table.text("account", ClassRule.ANY_ACCOUNT);
		return new ClassRule(account, table.text("path_prefix"), table.text("class"));
	}

}
