package org.marjoramgw.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.marjoramgw.load.report.ComparisonTable;
import org.marjoramgw.load.report.ResultFile;

/**
 * Subcommand {@code compare}: compares the results of two runs.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Put two results side by side")
final class CompareCommand extends LoadCommand {

	@Parameter(description = "A.json B.json", required = true)
	private List<String> resultFiles = new ArrayList<>();

	@Override
	public void run() throws IOException {
		if (this.resultFiles.size() != 2) {
			throw new ParameterException("compare takes two files");
		}
		ResultFile first = new ResultFile(Path.of(this.resultFiles.get(0)));
		ResultFile second = new ResultFile(Path.of(this.resultFiles.get(1)));
		System.out.print(new ComparisonTable().render(first.read(), second.read()));
	}

}
