package org.marjoramgw.ctl.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Text table with aligned columns.
 *
 * @author The marjoramgw authors
 */
public final class TextTable {

	private static final String COLUMN_GAP = "  ";

	private final List<List<String>> rows = new ArrayList<>();

	/**
	 * Creates a table.
	 * @param headings headings of the columns
	 */
	public TextTable(String... headings) {
		this.rows.add(List.of(headings));
	}

	/**
	 * Adds a row.
	 * @param cells one value for each column
	 */
	public void add(Object... cells) {
		List<String> row = new ArrayList<>();
		for (Object cell : cells) {
			row.add(String.valueOf(cell));
		}
		this.rows.add(row);
	}

	@Override
	public String toString() {
		return this.rows.stream().map(this::line).collect(Collectors.joining("\n"));
	}

	private String line(List<String> row) {
		StringBuilder line = new StringBuilder();
		for (int column = 0; column < row.size(); column++) {
			String cell = row.get(column);
			line.append(cell).append(" ".repeat(width(column) - cell.length())).append(COLUMN_GAP);
		}
		return line.toString().stripTrailing();
	}

	private int width(int column) {
		return this.rows.stream().mapToInt((row) -> row.get(column).length()).max().orElse(0);
	}

}
