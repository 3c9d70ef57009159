package org.marjoramgw.policy.slot;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.Limits;
import org.marjoramgw.config.RequestClass;

/**
 * Configuration with four tiers for the tests of this package.
 *
 * @author The marjoramgw authors
 */
final class TestConfiguration {

	static final int SLOT_COUNT = 6;

	static final int QUEUE_BOUND = 12;

	private TestConfiguration() {
	}

	static Configuration of(String queueOrder) {
		Map<String, RequestClass> classes = new LinkedHashMap<>();
		add(classes, "reply", 1, 30);
		add(classes, "comparison", 2, 10);
		add(classes, "draft", 3, 8);
		add(classes, "summary", 4, 5);
		Map<String, ClientAccount> accounts = Map.of("large", new ClientAccount("large", "", 3), "small",
				new ClientAccount("small", "", 1));
		Limits limits = new Limits(1_024, "late-binding", 2, 100, queueOrder, SLOT_COUNT, SLOT_COUNT, 2, 1, true, 10,
				24);
		return new Configuration(1, Map.of(), classes, accounts, List.of(), limits);
	}

	private static void add(Map<String, RequestClass> classes, String name, int tier, int floorPercent) {
		classes.put(name, new RequestClass(name, tier, 500, 50, 10_000, floorPercent, QUEUE_BOUND));
	}

}
