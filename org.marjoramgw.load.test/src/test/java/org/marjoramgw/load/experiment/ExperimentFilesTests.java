package org.marjoramgw.load.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.rig.BackendPlan;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the experiment and series files of the repository are valid and consistent
 * with their deployments.
 *
 * @author The marjoramgw authors
 */
public class ExperimentFilesTests {

	private static final String SERIES_KEY = "seed_count";

	private static final Path DIRECTORY = Path.of(System.getProperty("repository.root"), "experiments");

	@DataProvider
	public Object[][] experiments() throws IOException {
		return cases(false);
	}

	@DataProvider
	public Object[][] series() throws IOException {
		return cases(true);
	}

	@Test(dataProvider = "experiments")
	public void experimentMatchesItsDeployment(Path file) throws IOException, InvalidTomlException {
		Experiment experiment = new ExperimentParser().parse(file);
		String text = new ConfigurationText().render(experiment);
		Configuration configuration = new ConfigurationParser().parse(file.toString(), 1, text);
		for (RequestClassLoad load : experiment.deployment().loadsByClass().values()) {
			Assert.assertTrue(configuration.classes().containsKey(load.requestClass()), load.requestClass());
			boolean served = load.isChat() ? configuration.serviceOfModel(load.model()).isPresent()
					: configuration.services().containsKey(load.service());
			Assert.assertTrue(served, load.requestClass());
		}
		for (Phase phase : experiment.phases()) {
			phase.classPercent()
				.keySet()
				.forEach((name) -> Assert.assertTrue(configuration.classes().containsKey(name), name));
			Assert.assertTrue(
					phase.floodAccount().isEmpty() || configuration.accounts().containsKey(phase.floodAccount()));
		}
		List<String> standins = experiment.deployment().backends().stream().map(BackendPlan::standinName).toList();
		experiment.faults()
			.forEach((fault) -> Assert.assertTrue(standins.contains(fault.standin()) || "log".equals(fault.standin()),
					fault.standin()));
	}

	@Test(dataProvider = "series")
	public void everyVariantOfASeriesIsAValidConfiguration(Path file) throws IOException, InvalidTomlException {
		Series series = new SeriesParser().parse(file);
		Assert.assertTrue(series.seedCount() >= 3);
		for (Experiment experiment : series.experiments()) {
			for (Variant variant : series.variants()) {
				String text = new ConfigurationText().render(experiment.withLimitOverrides(variant.limitOverrides()));
				new ConfigurationParser().parse(variant.name(), 1, text);
			}
		}
	}

	@Test
	public void overridesKeepOtherKeys() throws IOException, InvalidTomlException {
		Experiment experiment = new ExperimentParser().parse(DIRECTORY.resolve("capacity.toml"))
			.withLimitOverrides(Map.of("selector", "random", "candidate_count", 2));
		ConfigurationParser parser = new ConfigurationParser();
		Configuration plain = parser.parse("plain", 1, Files.readString(experiment.deployment().configurationFile()));
		Configuration changed = parser.parse("changed", 1, new ConfigurationText().render(experiment));
		Assert.assertEquals(changed.limits().selector(), "random");
		Assert.assertEquals(changed.limits().candidateCount(), 2);
		Assert.assertEquals(changed.limits().slotCount(), plain.limits().slotCount());
		Assert.assertEquals(changed.classes(), plain.classes());
		Assert.assertEquals(changed.rules(), plain.rules());
	}

	private static Object[][] cases(boolean series) throws IOException {
		List<Object[]> cases = new ArrayList<>();
		for (Path directory : List.of(DIRECTORY, DIRECTORY.resolve("series"))) {
			try (Stream<Path> files = Files.list(directory)) {
				for (Path file : files.filter((path) -> path.toString().endsWith(".toml")).toList()) {
					if (Files.readString(file).contains(SERIES_KEY) == series) {
						cases.add(new Object[] { file });
					}
				}
			}
		}
		return cases.toArray(Object[][]::new);
	}

}
