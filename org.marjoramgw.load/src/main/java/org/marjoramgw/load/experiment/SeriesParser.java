package org.marjoramgw.load.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.TomlTable;

/**
 * Parses the TOML file that describes a series.
 *
 * @author The marjoramgw authors
 */
public final class SeriesParser {

	private static final int MAX_SEEDS = 100;

	/**
	 * Parses a file.
	 * @param file the file; the experiments' files are relative to its directory
	 * @return the series
	 * @throws InvalidTomlException if a file is invalid
	 */
	public Series parse(Path file) throws InvalidTomlException {
		TomlTable root = TomlTable.ofFile(file);
		String name = root.text("name");
		List<String> files = root.texts("experiments");
		int seedCount = (int) root.number("seed_count", 3, 1, MAX_SEEDS);
		List<Variant> variants = root.tables("variants",
				(table) -> new Variant(table.text("name"), table.values("limits")));
		if (files.isEmpty() || variants.isEmpty()) {
			root.addProblem(ResultCode.MISSING_KEY, "experiments", "at least one experiment and one variant");
		}
		root.throwIfInvalid();
		List<Experiment> experiments = new ArrayList<>();
		for (String experiment : files) {
			experiments.add(new ExperimentParser().parse(file.resolveSibling(experiment)));
		}
		return new Series(name, experiments, variants, 1, seedCount);
	}

}
