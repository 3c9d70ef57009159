package org.marjoramgw.load.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.marjoramgw.load.measure.ExperimentResult;
import org.marjoramgw.load.measure.SeriesRun;

/**
 * Directory with the results of a series, with one subdirectory per variant.
 *
 * @author The marjoramgw authors
 */
public final class SeriesDirectory {

	private static final String SUFFIX = ".json";

	private final Path path;

	/**
	 * Creates a series directory.
	 * @param path path of the directory
	 */
	public SeriesDirectory(Path path) {
		this.path = path;
	}

	/**
	 * Writes the result of a run.
	 * @param run the run
	 * @throws IOException if the file can't be written
	 */
	public void write(SeriesRun run) throws IOException {
		ExperimentResult result = run.result();
		Path directory = Files.createDirectories(this.path.resolve(run.variant()));
		new ResultFile(directory.resolve(result.experiment() + "-" + result.seed() + SUFFIX)).write(result);
	}

	/**
	 * Reads all results.
	 * @return the runs, sorted by variant and file name
	 * @throws IOException if a file can't be read
	 */
	public List<SeriesRun> read() throws IOException {
		List<SeriesRun> runs = new ArrayList<>();
		try (Stream<Path> files = Files.walk(this.path)) {
			for (Path file : files.filter((path) -> path.toString().endsWith(SUFFIX)).sorted().toList()) {
				runs.add(new SeriesRun(file.getParent().getFileName().toString(), new ResultFile(file).read()));
			}
		}
		return runs;
	}

}
