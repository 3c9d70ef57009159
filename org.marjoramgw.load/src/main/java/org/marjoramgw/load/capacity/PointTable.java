package org.marjoramgw.load.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Markdown table of measured points, with a linear fit of each column.
 *
 * @author The marjoramgw authors
 */
final class PointTable {

	private final List<String> headings;

	private final List<double[]> rows = new ArrayList<>();

	/**
	 * Creates a table.
	 * @param headings column headings; the first column is the independent variable
	 */
	PointTable(String... headings) {
		this.headings = List.of(headings);
	}

	void add(double... values) {
		this.rows.add(values);
	}

	LinearFit fit(int column) {
		return LinearFit.of(this.rows.stream().map((row) -> new double[] { row[0], row[column] }).toList());
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder();
		text.append("| ").append(String.join(" | ", this.headings)).append(" |\n");
		text.append("|---".repeat(this.headings.size())).append("|\n");
		for (double[] row : this.rows) {
			appendRow(text, row);
		}
		if (this.rows.size() > 1) {
			appendFit(text);
		}
		return text.toString();
	}

	private static void appendRow(StringBuilder text, double[] row) {
		for (double value : row) {
			text.append("| ").append(formatNumber(value)).append(' ');
		}
		text.append("|\n");
	}

	private void appendFit(StringBuilder text) {
		text.append("| slope ");
		for (int column = 1; column < this.headings.size(); column++) {
			text.append("| ").append(formatNumber(fit(column).slope())).append(" each ");
		}
		text.append("|\n| at zero ");
		for (int column = 1; column < this.headings.size(); column++) {
			text.append("| ").append(formatNumber(fit(column).intercept())).append(' ');
		}
		text.append("|\n");
	}

	private static String formatNumber(double value) {
		boolean whole = Math.abs(value) >= 100 || value == Math.rint(value);
		return String.format(Locale.ROOT, whole ? "%.0f" : ((Math.abs(value) < 1) ? "%.4f" : "%.2f"), value);
	}

}
