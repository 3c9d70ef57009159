package org.marjoramgw.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.marjoramgw.direct.follow.KeyedRecord;

/**
 * Records of the store that a {@link ForwardingFixture} starts with: its configuration
 * and the registrations of its servers.
 *
 * @author The marjoramgw authors
 */
final class FixtureRecords {

	private static final String CONFIGURATION = """
			{"version":1,"routes":[
			{"name":"stream","host":"carob.example","pathPrefix":"/stream/","kind":"streaming","timeoutMs":1500,
			"priority":2,"service":"s","attempts":1},
			{"name":"resume","host":"carob.example","pathPrefix":"/resume/","kind":"streaming","timeoutMs":1500,
			"priority":2,"service":"s","attempts":2,"resumable":true},
			{"name":"book","host":"carob.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,
			"priority":1,"service":"s","attempts":1},
			{"name":"read","host":"carob.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":1500,
			"priority":1,"service":"s","attempts":2},
			{"name":"long-stream","host":"carob.example","pathPrefix":"/long-stream/","kind":"streaming",
			"timeoutMs":20000,"priority":2,"service":"s","attempts":1},
			{"name":"long-book","host":"carob.example","pathPrefix":"/long-book/","kind":"non_idempotent",
			"timeoutMs":20000,"priority":1,"service":"s","attempts":1},
			{"name":"prompt","host":"carob.example","pathPrefix":"/prompt/","kind":"streaming",
			"timeoutMs":20000,"targetLatencyMs":20000,"priority":2,"service":"s","attempts":1},
			{"name":"quick-prompt","host":"carob.example","pathPrefix":"/quick-prompt/","kind":"streaming",
			"timeoutMs":20000,"targetLatencyMs":1000,"priority":2,"service":"s","attempts":1},
			{"name":"urgent-prompt","host":"carob.example","pathPrefix":"/urgent-prompt/","kind":"streaming",
			"timeoutMs":20000,"targetLatencyMs":10000,"priority":1,"service":"s","attempts":1},
			{"name":"reply","host":"carob.example","pathPrefix":"/reply/","kind":"streaming",
			"timeoutMs":10000,"targetLatencyMs":250,"targetGapMs":150,"priority":1,"service":"s","attempts":1}],
			"services":[{"name":"s"}],"tenants":[{"name":"coop","apiKeys":["key-1"]}]}""";

	private FixtureRecords() {
	}

	/**
	 * Returns the configuration of the fixture.
	 * @return its record
	 */
	static KeyedRecord configuration() {
		return record("config", CONFIGURATION);
	}

	/**
	 * Returns the configuration of the fixture with longer timeouts.
	 * @return its record
	 */
	static KeyedRecord longConfiguration() {
		return record("config", CONFIGURATION.replace("\"timeoutMs\":1500", "\"timeoutMs\":20000"));
	}

	/**
	 * Returns the configuration of the fixture with limits on callers.
	 * @param limits the limits, a JSON object
	 * @return its record
	 */
	static KeyedRecord configuration(String limits) {
		return record("config", CONFIGURATION.replaceFirst("\\}$", ",\"limits\":" + limits + "}"));
	}

	/**
	 * Returns a version of a configuration that adds a route with each version:
	 * {@code /v1/}, {@code /v2/} and so on.
	 * @param version the version, which is the number of routes
	 * @return its record
	 */
	static KeyedRecord versionOfRoutes(int version) {
		StringBuilder routes = new StringBuilder();
		for (int route = 1; route <= version; route++) {
			routes.append((route > 1) ? "," : "")
				.append("{\"name\":\"r" + route + "\",\"host\":\"carob.example\",\"pathPrefix\":\"/v" + route
						+ "/\",\"kind\":\"idempotent\",\"timeoutMs\":1500,\"service\":\"s\",\"attempts\":2}");
		}
		return record(RoutingDocument.KEY, "{\"version\":" + version + ",\"routes\":[" + routes
				+ "],\"tenants\":[{\"name\":\"coop\",\"apiKeys\":[\"key-1\"]}]}");
	}

	/**
	 * Returns the registrations of servers.
	 * @param servers the servers
	 * @return their records
	 */
	static List<KeyedRecord> registrations(ScriptedServer... servers) {
		List<KeyedRecord> records = new ArrayList<>();
		for (ScriptedServer server : servers) {
			records.add(record("i-" + records.size(), "{\"service\":\"s\",\"address\":\"" + server.address()
					+ "\",\"zone\":\"a\",\"slots\":8,\"state\":\"ready\"}"));
		}
		return records;
	}

	private static KeyedRecord record(String key, String value) {
		return new KeyedRecord(key, Optional.of(value.getBytes(StandardCharsets.UTF_8)), 0);
	}

}
