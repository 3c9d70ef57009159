package org.marjoramgw.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.load.experiment.Series;
import org.marjoramgw.load.experiment.SeriesParser;
import org.marjoramgw.load.experiment.Variant;
import org.marjoramgw.load.measure.SeriesRun;
import org.marjoramgw.load.measure.SeriesRunner;
import org.marjoramgw.load.report.ResultTable;
import org.marjoramgw.load.report.SeriesDirectory;
import org.marjoramgw.load.report.SeriesTable;
import org.marjoramgw.rig.RigException;

/**
 * Subcommand {@code series}: runs all variants of a series on the same experiments and
 * seeds.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Run variants in turn on the same experiments and print medians and ranges")
final class SeriesCommand extends LoadCommand {

	@Parameter(description = "SERIES.toml", required = true)
	private String seriesFile;

	@Parameter(names = "--out", required = true,
			description = "Directory for the results of the individual runs (JSON)")
	private Path resultDirectory;

	@Parameter(names = "--seed", description = "Run this seed alone")
	private Integer seed;

	@Parameter(names = "--variant", description = "Run this variant alone; repeatable")
	private List<String> variantNames = new ArrayList<>();

	@Parameter(names = "--table", description = "Run nothing, print the table of the results in the directory")
	private boolean tableOnly;

	@Override
	public void run() throws IOException, InvalidTomlException, RigException, InterruptedException {
		Series series = select(new SeriesParser().parse(Path.of(this.seriesFile)));
		SeriesDirectory directory = new SeriesDirectory(this.resultDirectory);
		if (!this.tableOnly) {
			try (LoadActorSystem system = new LoadActorSystem()) {
				SeriesRunner runner = new SeriesRunner(system.newRunner(), system.system());
				runner.run(series, (run) -> printAndWrite(run, directory));
			}
		}
		System.out.print(new SeriesTable(directory.read()).render());
	}

	private Series select(Series series) {
		List<Variant> selected = series.variants()
			.stream()
			.filter((variant) -> this.variantNames.isEmpty() || this.variantNames.contains(variant.name()))
			.toList();
		if (selected.isEmpty()) {
			throw new ParameterException("no variant of " + this.seriesFile + " is named " + this.variantNames);
		}
		int firstSeed = (this.seed != null) ? this.seed : series.firstSeed();
		int seedCount = (this.seed != null) ? 1 : series.seedCount();
		return new Series(series.name(), series.experiments(), selected, firstSeed, seedCount);
	}

	private static void printAndWrite(SeriesRun run, SeriesDirectory directory) {
		System.out.println("variant " + run.variant());
		System.out.print(new ResultTable().render(run.result()));
		try {
			directory.write(run);
		}
		catch (IOException ex) {
			System.err.println("can't write the result: " + ex.getMessage());
		}
	}

}
