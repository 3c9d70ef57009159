package org.marjoramgw.load.experiment;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;

/**
 * Parses the TOML file that describes an experiment.
 *
 * @author The marjoramgw authors
 */
public final class ExperimentParser {

	private static final long MAX_MILLIS = 3_600_000;

	private static final long MAX_DURATION_MILLIS = 300_000;

	private static final long MAX_PERCENT = 10_000;

	/**
	 * Parses a file.
	 * @param file the file; the deployment's file is relative to its directory
	 * @return the experiment
	 * @throws InvalidTomlException if a file is invalid; the exception lists all problems
	 * of that file
	 */
	public Experiment parse(Path file) throws InvalidTomlException {
		TomlTable root = TomlTable.ofFile(file);
		String name = root.text("name");
		Path deploymentFile = file.resolveSibling(root.text("deployment"));
		long seed = root.number("seed", 1, 0, Long.MAX_VALUE);
		long windowMillis = root.number("window_ms", 10_000, 1_000, MAX_MILLIS);
		int minWindowRequests = (int) root.number("min_window_requests_count", 10, 1, MAX_MILLIS);
		long settleMillis = root.number("settle_ms", 20_000, 0, MAX_DURATION_MILLIS);
		boolean measureDirect = root.flag("direct", false);
		Map<String, Object> limitOverrides = root.values("limits");
		Map<String, Object> classOverrides = root.values("classes");
		Map<String, Object> engineOverrides = root.values("engine");
		Map<String, Object> processOverrides = root.values("processes");
		List<Phase> phases = root.tables("phases", ExperimentParser::parsePhase);
		List<Fault> faults = root.tables("faults", ExperimentParser::parseFault);
		if (phases.stream().mapToLong(Phase::durationMillis).sum() > MAX_DURATION_MILLIS) {
			root.addProblem(ResultCode.BAD_VALUE, "phases",
					"phases of at most " + MAX_DURATION_MILLIS + " ms in total");
		}
		root.throwIfInvalid();
		DeploymentDescription deployment = new DeploymentParser().parse(deploymentFile);
		return new Experiment(name, deployment, seed, windowMillis, minWindowRequests, settleMillis, measureDirect,
				limitOverrides, classOverrides, engineOverrides, processOverrides, phases, faults);
	}

	private static Phase parsePhase(TomlTable table) {
		Map<String, Integer> classPercent = new LinkedHashMap<>();
		table.values("class_percent").forEach((name, value) -> {
			if (value instanceof Integer percent) {
				classPercent.put(name, percent);
			}
			else {
				table.addProblem(ResultCode.BAD_VALUE, "class_percent." + name, "a whole number");
			}
		});
		return new Phase(table.text("name"), table.number("duration_ms", 1, MAX_DURATION_MILLIS),
				(int) table.number("load_percent", 100, 0, MAX_PERCENT), classPercent, table.text("flood_account", ""),
				(int) table.number("flood_percent", 0, 0, MAX_PERCENT));
	}

	private static Fault parseFault(TomlTable table) {
		return new Fault(table.number("at_ms", 0, MAX_DURATION_MILLIS), table.text("standin"), table.values("control"));
	}

}
