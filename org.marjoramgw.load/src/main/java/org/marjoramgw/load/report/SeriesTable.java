package org.marjoramgw.load.report;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

import org.marjoramgw.load.measure.AccountResult;
import org.marjoramgw.load.measure.ClassResult;
import org.marjoramgw.load.measure.ExperimentResult;
import org.marjoramgw.load.measure.SeriesRun;

/**
 * Table of a series in Markdown: the median of each measure over the seeds, with the
 * range, by variant.
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
	 * Writes the table.
	 * @return one table for each experiment
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
		List<SeriesRun> of = this.runs.stream().filter((run) -> run.result().experiment().equals(experiment)).toList();
		List<String> variants = of.stream().map(SeriesRun::variant).distinct().toList();
		ExperimentResult first = of.get(0).result();
		double least = of.stream().mapToDouble((run) -> run.result().machineLoad()).min().orElse(0);
		double most = of.stream().mapToDouble((run) -> run.result().machineLoad()).max().orElse(0);
		double leastStolen = of.stream().mapToDouble((run) -> run.result().stolenPercent()).min().orElse(0);
		double mostStolen = of.stream().mapToDouble((run) -> run.result().stolenPercent()).max().orElse(0);
		text.append(format(
				"%n%s: %d runs, window %d ms with at least %d requests, machine load %.1f to %.1f, %.1f to %.1f %% of its time stolen%n%n",
				experiment, of.size(), first.windowMillis(), first.minWindowRequests(), least, most, leastStolen,
				mostStolen));
		text.append("| measure |");
		variants.forEach((variant) -> text.append(' ').append(variant).append(" |"));
		text.append("\n|---|").append("---|".repeat(variants.size())).append('\n');
		for (ClassResult row : first.classes()) {
			String name = row.name();
			appendRow(text, of, variants, name + " worst window %", (result) -> worstWindowPercent(result, name));
			appendRow(text, of, variants, name + " first token p95 ms",
					(result) -> result.classResult(name).firstToken().p95Millis());
			if (row.slotTimePercent() >= 0) {
				appendRow(text, of, variants, name + " least slot-time % (floor " + row.floorPercent() + ")",
						(result) -> result.classResult(name).floorWindowPercent());
			}
		}
		appendRow(text, of, variants, "least attainment of an account %", SeriesTable::minAccountAttainment);
		appendRow(text, of, variants, "goodput tokens/s", (result) -> result.work().goodputTokensPerSecond());
		appendRow(text, of, variants, "goodput plain calls/s", (result) -> result.work().goodputCallsPerSecond());
		appendRow(text, of, variants, "wasted tokens %", (result) -> result.work().wastedPercent());
		appendRow(text, of, variants, "calls not attained by an error",
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
