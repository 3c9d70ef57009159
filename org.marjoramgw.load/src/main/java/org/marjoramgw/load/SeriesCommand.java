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
 * Subcommand {@code series}: runs variants in turn on the same experiments and seeds.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Run variants in turn on the same experiments and print medians and ranges")
final class SeriesCommand extends LoadCommand {

	@Parameter(description = "SERIES.toml", required = true)
	private String file;

	@Parameter(names = "--out", required = true, description = "Directory for the results of the single runs (JSON)")
	private Path out;

	@Parameter(names = "--seed", description = "Run this seed alone")
	private Integer seed;

	@Parameter(names = "--variant", description = "Run this variant alone; repeatable")
	private List<String> variants = new ArrayList<>();

	@Parameter(names = "--table", description = "Run nothing, print the table of the results in the directory")
	private boolean table;

	@Override
	public void run() throws IOException, InvalidTomlException, RigException, InterruptedException {
		Series series = chosen(new SeriesParser().parse(Path.of(this.file)));
		SeriesDirectory directory = new SeriesDirectory(this.out);
		if (!this.table) {
			try (LoadSystem system = new LoadSystem()) {
				SeriesRunner runner = new SeriesRunner(system.runner(), system.system());
				runner.run(series, (run) -> show(run, directory));
			}
		}
		System.out.print(new SeriesTable(directory.read()).write());
	}

	private Series chosen(Series series) {
		List<Variant> chosen = series.variants()
			.stream()
			.filter((variant) -> this.variants.isEmpty() || this.variants.contains(variant.name()))
			.toList();
		if (chosen.isEmpty()) {
			throw new ParameterException("no variant of " + this.file + " has the name " + this.variants);
		}
		int first = (this.seed != null) ? this.seed : series.firstSeed();
		int count = (this.seed != null) ? 1 : series.seedCount();
		return new Series(series.name(), series.experiments(), chosen, first, count);
	}

	private static void show(SeriesRun run, SeriesDirectory directory) {
		System.out.println("variant " + run.variant());
		System.out.print(new ResultTable().of(run.result()));
		try {
			directory.write(run);
		}
		catch (IOException ex) {
			System.err.println("result can't be written: " + ex.getMessage());
		}
	}

}
