package org.marjoramgw.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.marjoramgw.ResultCode;
import org.marjoramgw.settings.TomlTable;

/**
 * Validates constraints and references between the parts of a configuration.
 *
 * @author The marjoramgw authors
 */
final class ConfigurationValidator {

	private static final int MAX_SUM_PERCENT = 100;

	private static final String CALL_PATTERN = "[A-Z]+ /\\S*";

	private final TomlTable root;

	private final Configuration configuration;

	ConfigurationValidator(TomlTable root, Configuration configuration) {
		this.root = root;
		this.configuration = configuration;
	}

	void validate() {
		checkClasses();
		this.configuration.services().values().forEach(this::checkService);
		checkModelsAreUnique();
		checkDigestsAreUnique();
		for (int index = 0; index < this.configuration.rules().size(); index++) {
			checkRule("rules[" + index + "]", this.configuration.rules().get(index));
		}
	}

	private void checkClasses() {
		if (this.configuration.classes().isEmpty()) {
			this.root.addProblem(ResultCode.MISSING_KEY, "classes", "at least one class, [classes.NAME]");
		}
		int sumPercent = 0;
		for (RequestClass each : this.configuration.classes().values()) {
			sumPercent += each.floorPercent();
		}
		if (sumPercent > MAX_SUM_PERCENT) {
			this.root.addProblem(ResultCode.BAD_VALUE, "classes",
					"a sum of floor_percent of at most 100, not " + sumPercent);
		}
	}

	private void checkService(Service service) {
		String key = "services." + service.name();
		if (service.kind() == ServiceKind.MODEL && service.models().isEmpty()) {
			this.root.addProblem(ResultCode.MISSING_KEY, key + ".models", "at least one model");
		}
		if (service.kind() == ServiceKind.PLAIN && !service.models().isEmpty()) {
			this.root.addProblem(ResultCode.BAD_VALUE, key + ".models", "no models in a plain service");
		}
		for (String dependency : service.dependsOn()) {
			if (!this.configuration.services().containsKey(dependency)) {
				this.root.addProblem(ResultCode.BAD_REFERENCE, key + ".depends_on",
						"declared services, not \"" + dependency + "\"");
			}
		}
		for (String call : service.nonRepeatable()) {
			if (!call.matches(CALL_PATTERN)) {
				this.root.addProblem(ResultCode.BAD_VALUE, key + ".non_repeatable",
						"a method and a path such as \"POST /orders\", not \"" + call + "\"");
			}
		}
		if (dependsOnItself(service)) {
			this.root.addProblem(ResultCode.BAD_REFERENCE, key + ".depends_on",
					"services that don't depend on each other in a cycle");
		}
	}

	private boolean dependsOnItself(Service service) {
		Set<String> visited = new HashSet<>();
		Deque<String> pending = new ArrayDeque<>(service.dependsOn());
		while (!pending.isEmpty()) {
			Service next = this.configuration.services().get(pending.remove());
			if (next != null && visited.add(next.name())) {
				pending.addAll(next.dependsOn());
			}
		}
		return visited.contains(service.name());
	}

	private void checkModelsAreUnique() {
		Map<String, String> serviceOfModel = new HashMap<>();
		for (Service service : this.configuration.services().values()) {
			for (String model : service.models()) {
				String other = serviceOfModel.put(model, service.name());
				if (other != null) {
					this.root.addProblem(ResultCode.BAD_VALUE, "services." + service.name() + ".models",
							"each model once, \"" + model + "\" is also in " + other);
				}
			}
		}
	}

	private void checkDigestsAreUnique() {
		Map<String, String> accountOfDigest = new HashMap<>();
		for (ClientAccount account : this.configuration.accounts().values()) {
			String other = accountOfDigest.put(account.keySha256(), account.name());
			if (other != null && !account.keySha256().isEmpty()) {
				this.root.addProblem(ResultCode.BAD_VALUE, "accounts." + account.name() + ".key_sha256",
						"a key of its own, not that of " + other);
			}
		}
	}

	private void checkRule(String key, ClassRule rule) {
		if (!this.configuration.classes().containsKey(rule.requestClass()) && !rule.requestClass().isEmpty()) {
			this.root.addProblem(ResultCode.BAD_REFERENCE, key + ".class",
					"a declared class, not \"" + rule.requestClass() + "\"");
		}
		boolean anyAccount = ClassRule.ANY_ACCOUNT.equals(rule.account());
		if (!anyAccount && !this.configuration.accounts().containsKey(rule.account())) {
			this.root.addProblem(ResultCode.BAD_REFERENCE, key + ".account",
					"a declared account or \"*\", not \"" + rule.account() + "\"");
		}
	}

}
