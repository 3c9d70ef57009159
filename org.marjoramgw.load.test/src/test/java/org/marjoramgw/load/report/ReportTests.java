package org.marjoramgw.load.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.marjoramgw.load.measure.AccountResult;
import org.marjoramgw.load.measure.ClassResult;
import org.marjoramgw.load.measure.ExperimentResult;
import org.marjoramgw.load.measure.Percentiles;
import org.marjoramgw.load.measure.SeriesRun;
import org.marjoramgw.load.measure.WindowResult;
import org.marjoramgw.load.measure.WorkResult;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests the result files, tables and charts.
 *
 * @author The marjoramgw authors
 */
public class ReportTests {

	@Test
	public void resultFileRoundTrips() throws IOException {
		Path path = Files.createTempFile("result", ".json");
		ExperimentResult result = result(1, 90);
		new ResultFile(path).write(result);
		Assert.assertEquals(new ResultFile(path).read(), result);
		Files.delete(path);
	}

	@Test
	public void seriesDirectoryKeepsVariants() throws IOException {
		Path path = Files.createTempDirectory("series");
		SeriesDirectory directory = new SeriesDirectory(path);
		SeriesRun run = new SeriesRun("a", result(1, 90));
		directory.write(run);
		directory.write(run);
		Assert.assertEquals(directory.read(), List.of(run));
		Files.delete(path.resolve("a").resolve("e-1.json"));
		Files.delete(path.resolve("a"));
		Files.delete(path);
	}

	@Test
	public void chartsAreWritten() throws IOException {
		Path directory = Files.createTempDirectory("charts");
		for (String name : List.of("a.png", "b.svg")) {
			Path path = directory.resolve(name);
			new ResultChart(result(1, 90)).write(path);
			Assert.assertTrue(Files.size(path) > 0);
		}
		for (String name : List.of("a.png", "b.svg", "b-wait.svg")) {
			Files.delete(directory.resolve(name));
		}
		Files.delete(directory);
	}

	@Test
	public void tablesContainWindowAndClasses() {
		String table = new ResultTable().render(result(1, 90));
		Assert.assertTrue(table.contains("worst window of 10 s with at least 5 requests"), table);
		Assert.assertTrue(table.contains("fast"), table);
		Assert.assertTrue(table.contains("machine load 1.0, 12.5% of its time stolen"), table);
		String comparison = new ComparisonTable().render(result(1, 90), result(2, 80));
		Assert.assertTrue(comparison.contains("-10.0"), comparison);
	}

	@Test
	public void comparisonShowsDashForMissingMeasures() {
		String comparison = new ComparisonTable().render(result(1, 90), result(1, 90, "slow"));
		Assert.assertTrue(comparison.matches("(?s).*fast \\(tier 1\\) worst % +90\\.0 +- +-\n.*"), comparison);
		Assert.assertTrue(comparison.matches("(?s).*slow \\(tier 1\\) worst % +- +90\\.0 +-\n.*"), comparison);
		Assert.assertTrue(comparison.matches("(?s).*wasted tokens % +2\\.0 +2\\.0 +\\+0\\.0\n.*"), comparison);
	}

	@Test
	public void seriesTableShowsMedianAndRange() {
		List<SeriesRun> runs = List.of(new SeriesRun("a", result(1, 90)), new SeriesRun("a", result(2, 70)),
				new SeriesRun("a", result(3, 80)), new SeriesRun("b", result(1, 50)));
		String table = new SeriesTable(runs).render();
		Assert.assertTrue(table.contains("| fast worst window % | 80.0 (70.0 to 90.0) | 50.0 (50.0 to 50.0) |"), table);
	}

	private static ExperimentResult result(long seed, double worst) {
		return result(seed, worst, "fast");
	}

	private static ExperimentResult result(long seed, double worst, String name) {
		Percentiles latency = new Percentiles(10, 1, 2, 3);
		ClassResult row = new ClassResult(name, 1, 10, 9, 1, 0, 0, 90, worst, 0, latency, latency, latency, 50, 40, 30);
		WorkResult work = new WorkResult(10, 1, 100, 98, 2, 2, Map.of("generated twice", 2L), 0);
		WindowResult window = new WindowResult(0, Map.of("fast", worst), Map.of("fast", 2L));
		return new ExperimentResult("e", "d", seed, Map.of("selector", "random"), 10_000, 5, 20_000, 1, 12.5,
				List.of(row), List.of(new AccountResult("a", 10, worst)), work, Map.of(3001, 1L), Map.of(), Map.of(), 0,
				List.of(window), null);
	}

}
