package org.marjoramgw.load.capacity;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/**
 * Configuration text of the capacity measurements.
 *
 * @author The marjoramgw authors
 */
final class CapacityConfiguration {

	static final String POOL = "model-runners";

	static final String PLAIN_POOL = "order-runners";

	static final String MODEL = "capacity";

	static final String SERVICE = "orders";

	static final String REQUEST_CLASS = "capacity-class";

	static final String ACCOUNT = "capacity";

	static final String API_KEY = "key-capacity";

	private static final String TEMPLATE = """
			[limits]
			subset_count = %d
			grant_timeout_ms = 10000
			plain_slot_count = 1000
			[services.chat]
			kind = "model"
			pool = "%s"
			models = ["%s"]
			[services.%s]
			kind = "plain"
			pool = "%s"
			non_repeatable = ["POST /"]
			[classes.%s]
			tier = 1
			completion_ms = 600000
			queue_bound_count = 10000
			[accounts.%s]
			key_sha256 = "%s"
			""";

	private CapacityConfiguration() {
	}

	static String render(int subsetCount) {
		String digest = Hashing.sha256().hashString(API_KEY, StandardCharsets.UTF_8).toString();
		return TEMPLATE.formatted(subsetCount, POOL, MODEL, SERVICE, PLAIN_POOL, REQUEST_CLASS, ACCOUNT, digest);
	}

}
