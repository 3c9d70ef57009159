package org.marjoramgw.load.report;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

import org.marjoramgw.load.measure.AccountResult;
import org.marjoramgw.load.measure.ClassResult;
import org.marjoramgw.load.measure.ExperimentResult;
import org.marjoramgw.load.measure.SeriesRun;

/**
 * Markdown table of a series: median and range of each measure over the seeds, by
 * variant.
 *
 * @author The marjoramgw authors
 */
public final class SeriesTable {

	private final List<SeriesRun> runs;

	/**
	 * Creates a table.
	 * @param runs all runs of the series
	 */
	public SeriesTable(List<SeriesRun> runs) {
		this.runs = List.copyOf(runs);
	}

	/**
	 * Renders the tables.
	 * @return one table per experiment
	 */
	public String render() {
		StringBuilder text = new StringBuilder();
		this.runs.stream()
			.map((run) -> run.result().experiment())
			.distinct()
			.forEach((experiment) -> appendExperiment(text, experiment));
		return text.toString();
	}

	private void appendExperiment(StringBuilder text, String experiment) {
		List<SeriesRun> experimentRuns = this.runs.stream()
			.filter((run) -> run.result().experiment().equals(experiment))
			.toList();
		List<String> variants = experimentRuns.stream().map(SeriesRun::variant).distinct().toList();
		ExperimentResult first = experimentRuns.get(0).result();
		double minLoad = experimentRuns.stream().mapToDouble((run) -> run.result().machineLoad()).min().orElse(0);
		double maxLoad = experimentRuns.stream().mapToDouble((run) -> run.result().machineLoad()).max().orElse(0);
		double minStolenPercent = experimentRuns.stream()
			.mapToDouble((run) -> run.result().stolenPercent())
			.min()
			.orElse(0);
		double maxStolenPercent = experimentRuns.stream()
			.mapToDouble((run) -> run.result().stolenPercent())
			.max()
			.orElse(0);
		text.append(format(
				"%n%s: %d runs, window %d ms with at least %d requests, machine load %.1f to %.1f, %.1f to %.1f %% of its time stolen%n%n",
				experiment, experimentRuns.size(), first.windowMillis(), first.minWindowRequests(), minLoad, maxLoad,
				minStolenPercent, maxStolenPercent));
		text.append("| measure |");
		variants.forEach((variant) -> text.append(' ').append(variant).append(" |"));
		text.append("\n|---|").append("---|".repeat(variants.size())).append('\n');
		for (ClassResult row : first.classes()) {
			String name = row.name();
			appendRow(text, experimentRuns, variants, name + " worst window %",
					(result) -> worstWindowPercent(result, name));
			appendRow(text, experimentRuns, variants, name + " first token p95 ms",
					(result) -> result.classResult(name).firstToken().p95Millis());
			if (row.slotTimePercent() >= 0) {
				appendRow(text, experimentRuns, variants,
						name + " least slot-time % (floor " + row.floorPercent() + ")",
						(result) -> result.classResult(name).floorWindowPercent());
			}
		}
		appendRow(text, experimentRuns, variants, "least attainment of an account %",
				SeriesTable::minAccountAttainment);
		appendRow(text, experimentRuns, variants, "goodput tokens/s",
				(result) -> result.work().goodputTokensPerSecond());
		appendRow(text, experimentRuns, variants, "goodput plain calls/s",
				(result) -> result.work().goodputCallsPerSecond());
		appendRow(text, experimentRuns, variants, "wasted tokens %", (result) -> result.work().wastedPercent());
		appendRow(text, experimentRuns, variants, "calls not attained by an error",
				(result) -> result.errorCodes().values().stream().mapToLong(Long::longValue).sum());
	}

	private static double worstWindowPercent(ExperimentResult result, String name) {
		return result.classResult(name).worstWindowPercent();
	}

	private static double minAccountAttainment(ExperimentResult result) {
		return result.accounts().stream().mapToDouble(AccountResult::attainmentPercent).min().orElse(0);
	}

	private static void appendRow(StringBuilder text, List<SeriesRun> runs, List<String> variants, String name,
			ToDoubleFunction<ExperimentResult> measure) {
		text.append("| ").append(name).append(" |");
		for (String variant : variants) {
			double[] values = runs.stream()
				.filter((run) -> run.variant().equals(variant))
				.mapToDouble((run) -> measure.applyAsDouble(run.result()))
				.sorted()
				.toArray();
			text.append(format(" %.1f (%.1f to %.1f) |", median(values), values[0], values[values.length - 1]));
		}
		text.append('\n');
	}

	private static double median(double[] sorted) {
		int middle = sorted.length / 2;
		return (sorted.length % 2 == 1) ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
	}

	private static String format(String pattern, Object... values) {
		return String.format(Locale.ROOT, pattern, values);
	}

}
