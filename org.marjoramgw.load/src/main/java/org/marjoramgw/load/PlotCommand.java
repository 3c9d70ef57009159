package org.marjoramgw.load;

import java.io.IOException;
import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.marjoramgw.load.report.ResultChart;
import org.marjoramgw.load.report.ResultFile;

/**
 * Subcommand {@code plot}: plots the result of a run over time.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Plot attainment and time to first token of a result over time")
final class PlotCommand extends LoadCommand {

	@Parameter(description = "RESULT.json", required = true)
	private String resultFile;

	@Parameter(names = "--out", required = true, description = "File for the plot: FILE.png or FILE.svg")
	private Path chartFile;

	@Override
	public void run() throws IOException {
		new ResultChart(new ResultFile(Path.of(this.resultFile)).read()).write(this.chartFile);
	}

}
