package org.marjoramgw.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.load.experiment.Experiment;
import org.marjoramgw.load.experiment.ExperimentParser;
import org.marjoramgw.load.measure.ExperimentResult;
import org.marjoramgw.load.report.ResultFile;
import org.marjoramgw.load.report.ResultTable;
import org.marjoramgw.rig.RigException;

/**
 * Subcommand {@code run}: runs an experiment on a newly started deployment.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Run an experiment and print its measures")
final class RunCommand extends LoadCommand {

	@Parameter(description = "EXPERIMENT.toml", required = true)
	private String experimentFile;

	@Parameter(names = "--out", description = "File for the result (JSON)")
	private Path resultFile;

	@Parameter(names = "--seed", description = "Seed to use instead of the experiment's")
	private Long seed;

	@Parameter(names = "--set", description = "KEY=VALUE: replaces a key of the configuration's limits; repeatable")
	private List<String> limitAssignments = new ArrayList<>();

	@Override
	public void run() throws IOException, InvalidTomlException, RigException, InterruptedException {
		Experiment experiment = new ExperimentParser().parse(Path.of(this.experimentFile));
		experiment = experiment.withLimitOverrides(mergeLimits(experiment.limitOverrides()));
		if (this.seed != null) {
			experiment = experiment.withSeed(this.seed);
		}
		try (LoadActorSystem system = new LoadActorSystem()) {
			ExperimentResult result = system.newRunner().run(experiment);
			System.out.print(new ResultTable().render(result));
			if (this.resultFile != null) {
				new ResultFile(this.resultFile).write(result);
			}
		}
	}

	private Map<String, Object> mergeLimits(Map<String, Object> overrides) {
		Map<String, Object> mergedOverrides = new LinkedHashMap<>(overrides);
		for (String assignment : this.limitAssignments) {
			int separatorIndex = assignment.indexOf('=');
			if (separatorIndex <= 0) {
				throw new ParameterException("--set takes KEY=VALUE, not " + assignment);
			}
			mergedOverrides.put(assignment.substring(0, separatorIndex),
					parseValue(assignment.substring(separatorIndex + 1)));
		}
		return mergedOverrides;
	}

	private static Object parseValue(String text) {
		if (text.matches("-?\\d{1,18}")) {
			return Long.valueOf(text);
		}
		if ("true".equals(text) || "false".equals(text)) {
			return Boolean.valueOf(text);
		}
		return text;
	}

}
