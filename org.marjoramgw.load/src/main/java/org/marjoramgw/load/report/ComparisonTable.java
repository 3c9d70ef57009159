package org.marjoramgw.load.report;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

import org.marjoramgw.load.measure.ClassResult;
import org.marjoramgw.load.measure.ExperimentResult;
import org.marjoramgw.load.measure.Percentiles;

/**
 * Table that puts two runs side by side. A measure that a run doesn't have is given as a
 * dash.
 *
 * @author The marjoramgw authors
 */
public final class ComparisonTable {

	private static final String ROW = "%-34s %12s %12s %12s%n";

	private static final double NO_VALUE = -1;

	/**
	 * Writes the table.
	 * @param first the first run
	 * @param second the second run
	 * @return the table, several lines
	 */
	public String of(ExperimentResult first, ExperimentResult second) {
		StringBuilder text = new StringBuilder();
		text.append(description("A", first)).append(description("B", second));
		text.append(format(ROW, "", "A", "B", "change"));
		for (String name : classNames(first, second)) {
			classLines(text, name, find(first, name), find(second, name));
		}
		List<Optional<ExperimentResult>> results = List.of(Optional.of(first), Optional.of(second));
		line(text, "goodput tokens/s", results, (result) -> result.work().goodputTokensPerSecond());
		line(text, "goodput plain calls/s", results, (result) -> result.work().goodputCallsPerSecond());
		line(text, "wasted tokens %", results, (result) -> result.work().wastedPercent());
		line(text, "prompt tokens computed again", results, (result) -> result.work().recomputedPrefillTokens());
		return text.toString();
	}

	private static void classLines(StringBuilder text, String name, Optional<ClassResult> first,
			Optional<ClassResult> second) {
		List<Optional<ClassResult>> rows = List.of(first, second);
		int tier = first.or(() -> second).map(ClassResult::tier).orElseThrow();
		line(text, name + " (tier " + tier + ") worst %", rows, ClassResult::worstWindowPercent);
		line(text, "  attained %", rows, ClassResult::attainmentPercent);
		line(text, "  late", rows, ClassResult::late);
		line(text, "  refused", rows, ClassResult::refused);
		line(text, "  failed", rows, ClassResult::failed);
		line(text, "  first token p50 ms", rows, (row) -> latency(row.firstToken(), Percentiles::p50Millis));
		line(text, "  first token p95 ms", rows, (row) -> latency(row.firstToken(), Percentiles::p95Millis));
		line(text, "  gap p95 ms", rows, (row) -> latency(row.gap(), Percentiles::p95Millis));
		line(text, "  completion p95 ms", rows, (row) -> latency(row.completion(), Percentiles::p95Millis));
		line(text, "  least slot-time %", rows, ClassResult::floorWindowPercent);
	}

	private static Set<String> classNames(ExperimentResult first, ExperimentResult second) {
		Set<String> names = new LinkedHashSet<>();
		Stream.of(first, second)
			.flatMap((result) -> result.classes().stream())
			.map(ClassResult::name)
			.forEach(names::add);
		return names;
	}

	private static Optional<ClassResult> find(ExperimentResult result, String name) {
		return result.classes().stream().filter((row) -> row.name().equals(name)).findFirst();
	}

	private static double latency(Percentiles percentiles, ToDoubleFunction<Percentiles> percentile) {
		return (percentiles.count() > 0) ? percentile.applyAsDouble(percentiles) : NO_VALUE;
	}

	private static String description(String column, ExperimentResult result) {
		return format("%s: %s on %s, seed %d, limits %s, machine load %.1f%n", column, result.experiment(),
				result.deployment(), result.seed(), result.limits(), result.machineLoad());
	}

	private static <T> void line(StringBuilder text, String name, List<Optional<T>> pair, ToDoubleFunction<T> measure) {
		double first = pair.get(0).map(measure::applyAsDouble).orElse(NO_VALUE);
		double second = pair.get(1).map(measure::applyAsDouble).orElse(NO_VALUE);
		if (first < 0 && second < 0) {
			return;
		}
		String change = (first < 0 || second < 0) ? "-" : format("%+.1f", second - first);
		text.append(format(ROW, name, cell(first), cell(second), change));
	}

	private static String cell(double value) {
		return (value < 0) ? "-" : format("%.1f", value);
	}

	private static String format(String pattern, Object... values) {
		return String.format(Locale.ROOT, pattern, values);
	}

}
