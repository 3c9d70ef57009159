package org.marjoramgw.docs;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.marjoramgw.ResultCode;
import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.Problem;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the unit, default and bounds in each row of docs/SETTINGS.md are those that
 * the programs apply.
 *
 * @author The marjoramgw authors
 */
public class SettingsValuesTests {

	private static final Map<String, String> UNIT_BY_SUFFIX = Map.of("_ms", "ms", "_us", "µs", "_bytes", "bytes",
			"_percent", "percent", "_url", "URL", "_address", "address");

	private static final Pattern RANGE = Pattern.compile("([0-9,]+)(?: \\([a-z]+\\))? to ([0-9,]+)");

	private static final Pattern CLAMPED_RANGE = Pattern.compile("nearest of ([0-9,]+) to ([0-9,]+)");

	private static final Pattern CODE_SPAN = Pattern.compile("`([^`]+)`");

	/**
	 * Values in a {@link SettingsDocument} of the keys to which defaults and bounds
	 * refer.
	 */
	private static final Map<String, String> VALUE_BY_REFERENCE = Map.of("`slot_count` - 1", "7", "`slot_count`", "8",
			"`completion_ms`", "5,000");

	@DataProvider
	public Object[][] rows() {
		return SettingsRow.ofPage().stream().map((row) -> new Object[] { row }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "rows")
	public void unitMatchesTheKeySuffix(SettingsRow row) {
		UNIT_BY_SUFFIX.forEach((suffix, unit) -> {
			if (row.key().endsWith(suffix)) {
				Assert.assertEquals(row.unit(), unit);
			}
		});
		String invalidValue = (row.isNumber() || "truth value".equals(row.unit())) ? "\"x\"" : "7";
		Assert.assertFalse(problems(row, invalidValue).isEmpty(), invalidValue + " is accepted");
	}

	@Test(dataProvider = "rows")
	public void defaultAppliesWhenTheKeyIsMissing(SettingsRow row) throws InvalidTomlException {
		SettingsDocument withoutKey = new SettingsDocument(row.reader()).remove(row.table(), row.key());
		if ("required".equals(row.defaultValue())) {
			Assert.assertTrue(withoutKey.problems()
				.stream()
				.anyMatch((problem) -> problem.code() == ResultCode.MISSING_KEY && problem.key().endsWith(row.key())));
			return;
		}
		SettingsDocument withDefault = new SettingsDocument(row.reader()).put(row.table(), row.key(),
				defaultValue(row));
		Assert.assertEquals(withoutKey.read(), withDefault.read());
	}

	@Test(dataProvider = "rows")
	public void boundsAreEnforced(SettingsRow row) {
		if (row.isNumber()) {
			String statedBounds = resolveReferences(row.bounds()).replaceFirst("at least (.+)",
					"$1 to " + Long.MAX_VALUE);
			Matcher range = RANGE.matcher(statedBounds);
			String expectedBounds = range.matches() ? (range.group(1) + " to " + range.group(2)).replace(",", "") : "";
			Assert.assertEquals(enforcedBounds(row), expectedBounds);
		}
		else if ("truth value".equals(row.unit())) {
			Assert.assertEquals(row.bounds(), "");
		}
		else if (row.bounds().startsWith("`")) {
			TreeSet<String> choices = new TreeSet<>(
					CODE_SPAN.matcher(row.bounds()).results().map((match) -> match.group(1)).toList());
			Assert.assertEquals(problems(row, "\"zz\"").get(0).expected(), "one of " + choices);
		}
		else {
			Assert.assertEquals(problems(row, row.toml("zz")).isEmpty(),
					row.bounds().isEmpty() && !"address".equals(row.unit()));
		}
	}

	@Test(dataProvider = "rows")
	public void numberOutOfClampedBoundsIsMovedToTheNearest(SettingsRow row) throws InvalidTomlException {
		Matcher range = CLAMPED_RANGE.matcher(row.bounds());
		if (!range.matches()) {
			return;
		}
		long min = Long.parseLong(range.group(1).replace(",", ""));
		long max = Long.parseLong(range.group(2).replace(",", ""));
		Assert.assertEquals(read(row, min - 1), read(row, min));
		Assert.assertEquals(read(row, max + 1), read(row, max));
		Assert.assertNotEquals(read(row, min + 1), read(row, min));
		Assert.assertNotEquals(read(row, max - 1), read(row, max));
	}

	@Test
	public void pageStatesTheMaximumTextSize() {
		Assert.assertTrue(Repository.read(Repository.page("SETTINGS.md"))
			.contains(String.format("At most %,d bytes.", ConfigurationParser.MAX_TEXT_BYTES)));
	}

	private static String enforcedBounds(SettingsRow row) {
		List<Problem> below = problems(row, String.valueOf(Long.MIN_VALUE));
		List<Problem> above = problems(row, String.valueOf(Long.MAX_VALUE));
		if (below.isEmpty() && above.isEmpty()) {
			return "";
		}
		return (below.isEmpty() ? above : below).get(0).expected().replaceFirst("a (whole )?number from ", "");
	}

	private static String defaultValue(SettingsRow row) {
		String value = resolveReferences(row.defaultValue()).replace("`", "");
		if (value.startsWith("required by") || "empty".equals(value)) {
			return "\"\"";
		}
		if ("none".equals(value)) {
			return "[]";
		}
		if ("operator".equals(row.key())) {
			return row.toml(System.getProperty("user.name"));
		}
		return row.toml(value.replaceFirst(", or .*", ""));
	}

	private static String resolveReferences(String cell) {
		String result = cell;
		for (String name : List.of("`slot_count` - 1", "`slot_count`", "`completion_ms`")) {
			result = result.replace(name, VALUE_BY_REFERENCE.get(name));
		}
		return result;
	}

	private static Object read(SettingsRow row, long value) throws InvalidTomlException {
		return new SettingsDocument(row.reader()).put(row.table(), row.key(), String.valueOf(value)).read();
	}

	private static List<Problem> problems(SettingsRow row, String value) {
		return new SettingsDocument(row.reader()).put(row.table(), row.key(), value).problems();
	}

}
