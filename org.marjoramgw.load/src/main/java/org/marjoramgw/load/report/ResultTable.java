package org.marjoramgw.load.report;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.marjoramgw.ResultCode;
import org.marjoramgw.load.measure.AccountResult;
import org.marjoramgw.load.measure.ClassResult;
import org.marjoramgw.load.measure.ExperimentResult;
import org.marjoramgw.load.measure.Percentiles;
import org.marjoramgw.load.measure.WorkResult;

/**
 * Human-readable table of the result of a run.
 *
 * @author The marjoramgw authors
 */
public final class ResultTable {

	private static final String HEADER = "%-18s %4s %8s %8s %7s %6s %6s %7s  %-18s %-14s %-20s %6s %s%n";

	private static final String ROW = "%-18s %4d %8d %7.1f%% %6.1f%% %6d %6d %7d  %-18s %-14s %-20s %6s %s%n";

	private static final double SECOND_MILLIS = 1_000;

	/**
	 * Renders the table.
	 * @param result the result
	 * @return the table, as several lines
	 */
	public String render(ExperimentResult result) {
		StringBuilder text = new StringBuilder();
		text.append(format("%s on %s, seed %d, %.0f s, limits %s, machine load %.1f, %s of its time stolen%n",
				result.experiment(), result.deployment(), result.seed(), result.durationMillis() / SECOND_MILLIS,
				result.limits(), result.machineLoad(), formatPercent(result.stolenPercent())));
		text.append(format("worst: attainment in the worst window of %.0f s with at least %d requests%n",
				result.windowMillis() / SECOND_MILLIS, result.minWindowRequests()));
		text.append(format("latencies in ms: p50/p95/p99; slots: share of the engines' slot-time, in all and least%n"));
		text.append(format(HEADER, "class", "tier", "requests", "attained", "worst", "late", "failed", "refused",
				"first token", "gap", "completion", "slots", "least (floor)"));
		result.classes().forEach((row) -> text.append(formatRow(row)));
		appendWork(text, result.work());
		appendAccounts(text, result.accounts());
		appendCodes(text, "errors at callers", result.errorCodes());
		appendCodes(text, "entries", result.entryResults());
		appendCodes(text, "side processes", result.sideResults());
		text.append(format("misdelivered answers: %d%n", result.misdelivered()));
		if (result.directFirstToken() != null) {
			text.append(
					format("first token of engines called directly: %s%n", formatLatency(result.directFirstToken())));
		}
		return text.toString();
	}

	private static String formatRow(ClassResult row) {
		String slotShare = formatPercent(row.slotTimePercent());
		String minWindowShare = (row.floorWindowPercent() < 0) ? "-"
				: format("%.1f%% (%d%%)", row.floorWindowPercent(), row.floorPercent());
		return format(ROW, row.name(), row.tier(), row.requests(), row.attainmentPercent(), row.worstWindowPercent(),
				row.late(), row.failed(), row.refused(), formatLatency(row.firstToken()), formatLatency(row.gap()),
				formatLatency(row.completion()), slotShare, minWindowShare);
	}

	private static void appendWork(StringBuilder text, WorkResult work) {
		text.append(format("goodput: %.1f tokens/s and %.1f plain calls/s within target%n",
				work.goodputTokensPerSecond(), work.goodputCallsPerSecond()));
		text.append(format("wasted: %d of %d generated tokens (%.2f%%) %s; %d prompt tokens computed again%n",
				work.wastedTokens(), work.generatedTokens(), work.wastedPercent(), work.wastedTokensByCause(),
				work.recomputedPrefillTokens()));
	}

	private static void appendAccounts(StringBuilder text, List<AccountResult> accounts) {
		text.append("attained by account:");
		accounts.forEach((account) -> text
			.append(format(" %s %.1f%% of %d;", account.name(), account.attainmentPercent(), account.requests())));
		text.append(format("%n"));
	}

	private static void appendCodes(StringBuilder text, String title, Map<Integer, Long> codes) {
		text.append(title).append(':');
		codes.forEach((number, count) -> {
			String name = ResultCode.ofNumber(number).map(ResultCode::text).orElse("no answer");
			text.append(format(" %d (%s) %d;", number, name, count));
		});
		text.append(format("%n"));
	}

	private static String formatLatency(Percentiles value) {
		return (value.count() == 0) ? "-" : value.p50Millis() + "/" + value.p95Millis() + "/" + value.p99Millis();
	}

	private static String formatPercent(double value) {
		return (value < 0) ? "-" : format("%.1f%%", value);
	}

	private static String format(String pattern, Object... values) {
		return String.format(Locale.ROOT, pattern, values);
	}

}
