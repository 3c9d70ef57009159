package org.marjoramgw.load.report;

import java.util.Locale;

import org.marjoramgw.load.measure.ClassResult;
import org.marjoramgw.load.measure.ExperimentResult;

/**
 * Table that puts two runs side by side.
 *
 * @author The marjoramgw authors
 */
public final class ComparisonTable {

	private static final String ROW = "%-32s %16s %16s %12s%n";

	/**
	 * Writes the table.
	 * @param first the first run
	 * @param second the second run
	 * @return the table, several lines
	 */
	public String of(ExperimentResult first, ExperimentResult second) {
		StringBuilder text = new StringBuilder();
		text.append(format(ROW, "", title(first), title(second), "change"));
		text.append("A: ").append(first.limits()).append(" B: ").append(second.limits()).append('\n');
		for (ClassResult row : first.classes()) {
			ClassResult other = second.classResult(row.name());
			String name = row.name() + " (tier " + row.tier() + ")";
			line(text, name + " worst %", row.worstWindowPercent(), other.worstWindowPercent());
			line(text, "  attained %", row.attainmentPercent(), other.attainmentPercent());
			line(text, "  first token p95 ms", row.firstToken().p95Millis(), other.firstToken().p95Millis());
			line(text, "  completion p95 ms", row.completion().p95Millis(), other.completion().p95Millis());
		}
		line(text, "goodput tokens/s", first.work().goodputTokensPerSecond(), second.work().goodputTokensPerSecond());
		line(text, "goodput plain calls/s", first.work().goodputCallsPerSecond(),
				second.work().goodputCallsPerSecond());
		line(text, "wasted tokens %", first.work().wastedPercent(), second.work().wastedPercent());
		return text.toString();
	}

	private static String title(ExperimentResult result) {
		return result.experiment() + "/" + result.seed();
	}

	private static void line(StringBuilder text, String name, double first, double second) {
		text.append(format(ROW, name, format("%.1f", first), format("%.1f", second), format("%+.1f", second - first)));
	}

	private static String format(String pattern, Object... values) {
		return String.format(Locale.ROOT, pattern, values);
	}

}
