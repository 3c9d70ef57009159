package org.marjoramgw.docs;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Row of a table in docs/SETTINGS.md, which describes one key.
 *
 * @param reader simple name of the class that reads the key
 * @param table heading of the TOML table of the key, empty for the root table
 * @param key name of the key
 * @param unit unit or type of the value
 * @param defaultValue default as stated on the page
 * @param bounds bounds as stated on the page
 * @author The marjoramgw authors
 */
record SettingsRow(String reader, String table, String key, String unit, String defaultValue, String bounds) {

	private static final Path PAGE = Repository.page("SETTINGS.md");

	private static final Pattern SECTION = Pattern.compile("## [^`]*`(\\w+)`");

	private static final Pattern TABLE = Pattern.compile("`(\\[+[a-zA-Z.]+\\]+)`.*");

	private static final Pattern ROW = Pattern
		.compile("\\| `([a-z0-9_]+)` \\| ([^|]*) \\| ([^|]*) \\| ([^|]*)\\| [^|]+ \\|");

	/**
	 * Parses the page.
	 * @return the rows, in the order of the page
	 */
	static List<SettingsRow> ofPage() {
		List<SettingsRow> rows = new ArrayList<>();
		String reader = "";
		String table = "";
		for (String line : Repository.read(PAGE).lines().toList()) {
			Matcher section = SECTION.matcher(line);
			Matcher heading = TABLE.matcher(line);
			Matcher row = ROW.matcher(line);
			if (section.matches()) {
				reader = section.group(1);
				table = "";
			}
			else if (heading.matches()) {
				table = heading.group(1);
			}
			else if (row.matches()) {
				rows.add(new SettingsRow(reader, table, row.group(1), row.group(2), row.group(3).trim(),
						row.group(4).trim()));
			}
			else if (line.startsWith("| `")) {
				throw new IllegalStateException("malformed table row, expected five cells: " + line);
			}
		}
		return rows;
	}

	/**
	 * Formats a value of this row's type.
	 * @param text the value without quotation marks
	 * @return the value in TOML syntax
	 */
	String toml(String text) {
		return switch (this.unit) {
			case "text", "URL", "address", "hexadecimal" -> "\"" + text + "\"";
			case "list of texts" -> "[\"" + text + "\", \"" + text + "\"]";
			default -> text.replace(",", "");
		};
	}

	/**
	 * Returns whether the key takes a number.
	 * @return {@code true} if the type is neither text nor truth value nor list
	 */
	boolean isNumber() {
		return !List.of("text", "URL", "address", "hexadecimal", "list of texts", "truth value").contains(this.unit);
	}

}
