package org.marjoramgw.load.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.rig.BackendPlan;
import org.marjoramgw.rig.EntryPlan;
import org.marjoramgw.settings.TomlTable;

/**
 * Parses the TOML file that describes a deployment.
 *
 * @author The marjoramgw authors
 */
public final class DeploymentParser {

	private static final String MODEL = "model";

	private static final String PLAIN = "plain";

	private static final long MAX_COUNT = 1_000_000;

	/**
	 * Parses a file.
	 * @param file the file; paths in it are relative to its directory
	 * @return the deployment
	 * @throws InvalidTomlException if the file is invalid; the exception lists all
	 * problems
	 */
	public DeploymentDescription parse(Path file) throws InvalidTomlException {
		TomlTable root = TomlTable.ofFile(file);
		String name = root.text("name");
		Path configuration = file.resolveSibling(root.text("configuration")).normalize();
		List<EntryPlan> entries = root.tables("entries", DeploymentParser::parseEntry);
		Map<String, Object> engineOptions = root.values("engine");
		Map<String, Object> plainOptions = root.values("plain");
		List<List<BackendPlan>> pools = root.tables("pools",
				(table) -> parsePool(table, Map.of(MODEL, engineOptions, PLAIN, plainOptions)));
		List<BackendPlan> backends = pools.stream().flatMap(List::stream).toList();
		Map<String, RequestClassLoad> loadsByClass = new LinkedHashMap<>();
		root.tables("loads", DeploymentParser::parseClassLoad)
			.forEach((load) -> loadsByClass.put(load.requestClass(), load));
		root.throwIfInvalid();
		return new DeploymentDescription(name, configuration, entries, backends, loadsByClass);
	}

	private static EntryPlan parseEntry(TomlTable table) {
		return new EntryPlan(table.text("name"), table.text("failure_domain"));
	}

	private static List<BackendPlan> parsePool(TomlTable table, Map<String, Map<String, Object>> options) {
		String prefix = table.text("name_prefix");
		String pool = table.text("pool");
		String kind = table.choice("kind", MODEL, Set.of(MODEL, PLAIN));
		List<String> failureDomains = table.texts("failure_domains");
		List<BackendPlan> backends = new ArrayList<>();
		for (String failureDomain : failureDomains) {
			String name = prefix + (backends.size() + 1);
			ServiceKind serviceKind = MODEL.equals(kind) ? ServiceKind.MODEL : ServiceKind.PLAIN;
			backends.add(new BackendPlan(name, serviceKind, pool, failureDomain, options.get(kind)));
		}
		return backends;
	}

	private static RequestClassLoad parseClassLoad(TomlTable table) {
		return new RequestClassLoad(table.text("class"), table.number("per_minute_count", 0, MAX_COUNT),
				(int) table.number("burst_count", 1, 1, MAX_COUNT), table.text("model", ""),
				table.flag("streamed", true), (int) table.number("median_tokens_count", 60, 1, MAX_COUNT),
				(int) table.number("sigma_percent", 60, 0, MAX_COUNT),
				(int) table.number("prompt_words_count", 40, 1, MAX_COUNT), table.text("service", ""),
				table.text("path", ""), table.flag("keyed", false));
	}

}
