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
 * Table that compares two runs side by side. A dash stands for a measure that a run
 * doesn't have.
 *
 * @author The marjoramgw authors
 */
public final class ComparisonTable {

	private static final String ROW = "%-34s %12s %12s %12s%n";

	private static final double MISSING = -1;

	/**
	 * Renders the table.
	 * @param first the first run
	 * @param second the second run
	 * @return the table, as several lines
	 */
	public String render(ExperimentResult first, ExperimentResult second) {
		StringBuilder text = new StringBuilder();
		text.append(description("A", first)).append(description("B", second));
		text.append(format(ROW, "", "A", "B", "change"));
		for (String name : classNames(first, second)) {
			appendClass(text, name, findClass(first, name), findClass(second, name));
		}
		List<Optional<ExperimentResult>> results = List.of(Optional.of(first), Optional.of(second));
		appendRow(text, "goodput tokens/s", results, (result) -> result.work().goodputTokensPerSecond());
		appendRow(text, "goodput plain calls/s", results, (result) -> result.work().goodputCallsPerSecond());
		appendRow(text, "wasted tokens %", results, (result) -> result.work().wastedPercent());
		appendRow(text, "prompt tokens computed again", results, (result) -> result.work().recomputedPrefillTokens());
		return text.toString();
	}

	private static void appendClass(StringBuilder text, String name, Optional<ClassResult> first,
			Optional<ClassResult> second) {
		List<Optional<ClassResult>> rows = List.of(first, second);
		int tier = first.or(() -> second).map(ClassResult::tier).orElseThrow();
		appendRow(text, name + " (tier " + tier + ") worst %", rows, ClassResult::worstWindowPercent);
		appendRow(text, "  attained %", rows, ClassResult::attainmentPercent);
		appendRow(text, "  late", rows, ClassResult::late);
		appendRow(text, "  refused", rows, ClassResult::refused);
		appendRow(text, "  failed", rows, ClassResult::failed);
		appendRow(text, "  first token p50 ms", rows,
				(row) -> latencyOrMissing(row.firstToken(), Percentiles::p50Millis));
		appendRow(text, "  first token p95 ms", rows,
				(row) -> latencyOrMissing(row.firstToken(), Percentiles::p95Millis));
		appendRow(text, "  gap p95 ms", rows, (row) -> latencyOrMissing(row.gap(), Percentiles::p95Millis));
		appendRow(text, "  completion p95 ms", rows,
				(row) -> latencyOrMissing(row.completion(), Percentiles::p95Millis));
		appendRow(text, "  least slot-time %", rows, ClassResult::floorWindowPercent);
	}

	private static Set<String> classNames(ExperimentResult first, ExperimentResult second) {
		Set<String> names = new LinkedHashSet<>();
		Stream.of(first, second)
			.flatMap((result) -> result.classes().stream())
			.map(ClassResult::name)
			.forEach(names::add);
		return names;
	}

	private static Optional<ClassResult> findClass(ExperimentResult result, String name) {
		return result.classes().stream().filter((row) -> row.name().equals(name)).findFirst();
	}

	private static double latencyOrMissing(Percentiles percentiles, ToDoubleFunction<Percentiles> percentile) {
		return (percentiles.count() > 0) ? percentile.applyAsDouble(percentiles) : MISSING;
	}

	private static String description(String column, ExperimentResult result) {
		return format("%s: %s on %s, seed %d, limits %s, machine load %.1f, stolen %s%n", column, result.experiment(),
				result.deployment(), result.seed(), result.limits(), result.machineLoad(),
				formatValue(result.stolenPercent()));
	}

	private static <T> void appendRow(StringBuilder text, String name, List<Optional<T>> pair,
			ToDoubleFunction<T> measure) {
		double first = pair.get(0).map(measure::applyAsDouble).orElse(MISSING);
		double second = pair.get(1).map(measure::applyAsDouble).orElse(MISSING);
		if (first < 0 && second < 0) {
			return;
		}
		String change = (first < 0 || second < 0) ? "-" : format("%+.1f", second - first);
		text.append(format(ROW, name, formatValue(first), formatValue(second), change));
	}

	private static String formatValue(double value) {
		return (value < 0) ? "-" : format("%.1f", value);
	}

	private static String format(String pattern, Object... values) {
		return String.format(Locale.ROOT, pattern, values);
	}

}
