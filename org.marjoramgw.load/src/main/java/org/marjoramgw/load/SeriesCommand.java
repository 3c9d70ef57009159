package org.marjoramgw.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.marjoramgw.errors.InvalidTextException;
import org.marjoramgw.load.experiment.Series;
import org.marjoramgw.load.experiment.SeriesParser;
import org.marjoramgw.load.measure.ExperimentResult;
import org.marjoramgw.load.measure.SeriesRun;
import org.marjoramgw.load.measure.SeriesRunner;
import org.marjoramgw.load.report.ResultFile;
import org.marjoramgw.load.report.ResultTable;
import org.marjoramgw.load.report.SeriesTable;
import org.marjoramgw.rig.RigException;

/**
 * Subcommand {@code series}: runs variants in turn on the same experiments and seeds.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Run variants in turn on the same experiments and print medians and ranges")
final class SeriesCommand implements LoadCommand {

	@Parameter(names = "--help", help = true, description = "Print the options and exit")
	private boolean help;

	@Parameter(description = "SERIES.toml", required = true)
	private String file;

	@Parameter(names = "--out", description = "Directory for the results of the single runs (JSON)")
	private Path out;

	@Override
	public boolean help() {
		return this.help;
	}

	@Override
	public void run() throws IOException, InvalidTextException, RigException, InterruptedException {
		Series series = new SeriesParser().parse(Path.of(this.file));
		if (this.out != null) {
			Files.createDirectories(this.out);
		}
		try (LoadSystem system = new LoadSystem()) {
			SeriesRunner runner = new SeriesRunner(system.runner(), system.system());
			List<SeriesRun> runs = runner.run(series, this::show);
			System.out.print(new SeriesTable(runs).write());
		}
	}

	private void show(SeriesRun run) {
		System.out.println("variant " + run.variant());
		System.out.print(new ResultTable().of(run.result()));
		if (this.out != null) {
			write(run);
		}
	}

	private void write(SeriesRun run) {
		ExperimentResult result = run.result();
		String name = result.experiment() + "-" + run.variant() + "-" + result.seed() + ".json";
		try {
			new ResultFile(this.out.resolve(name)).write(result);
		}
		catch (IOException ex) {
			System.err.println("result can't be written: " + ex.getMessage());
		}
	}

}
