package org.marjoramgw.docs;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Row of a table of docs/SETTINGS.md.
 *
 * @param reader simple name of the class that reads the key
 * @param table heading of its table in the text, empty for the root
 * @param key the key
 * @param unit unit or type
 * @param defaultValue what the page gives as its default
 * @param bounds what the page gives as its bounds
 * @author The marjoramgw authors
 */
record SettingsRow(String reader, String table, String key, String unit, String defaultValue, String bounds) {

	private static final Path PAGE = Repository.page("SETTINGS.md");

	private static final Pattern SECTION = Pattern.compile("## [^`]*`(\\w+)`");

	private static final Pattern TABLE = Pattern.compile("`(\\[+[a-zA-Z.]+\\]+)`.*");

	private static final Pattern ROW = Pattern
		.compile("\\| `([a-z0-9_]+)` \\| ([^|]*) \\| ([^|]*) \\| ([^|]*)\\| [^|]+ \\|");

	/**
	 * Reads the page.
	 * @return its rows from top to bottom
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
				throw new IllegalStateException("not a row with five cells: " + line);
			}
		}
		return rows;
	}

	/**
	 * Returns a value of this row's type.
	 * @param text its text without quotation marks
	 * @return the value in TOML
	 */
	String toml(String text) {
		return switch (this.unit) {
			case "text", "URL", "address", "hexadecimal" -> "\"" + text + "\"";
			case "list of texts" -> "[\"" + text + "\", \"" + text + "\"]";
			default -> text.replace(",", "");
		};
	}

	/**
	 * Tells whether the value is a number.
	 * @return whether it is neither a text nor a truth value nor a list
	 */
	boolean isNumber() {
		return !List.of("text", "URL", "address", "hexadecimal", "list of texts", "truth value").contains(this.unit);
	}

}
