package org.marjoramgw.docs;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.marjoramgw.ResultCode;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that docs/OPERATORS.md lists every metric with its meaning and the operator's
 * action, and that each row of its access table names existing tests.
 *
 * @author The marjoramgw authors
 */
public class OperatorsPageTests {

	private static final Path PAGE = Repository.page("OPERATORS.md");

	private static final String COUNTER_TABLE_HEADING = "| counter | meaning | what to do |\n";

	private static final String ACCESS_TABLE_HEADING = "| endpoint | without a token or key, or with a wrong one "
			+ "| with the right one | tested by |\n";

	private static final Pattern CODE_SPAN = Pattern.compile("`([^`]+)`");

	private static final Pattern CODE_RANGE = Pattern.compile("`results_(\\d+)`(?: to `results_(\\d+)`)?");

	private static final Pattern REGISTERED_METRIC = Pattern
		.compile("(?:journal\\.(count|wasted|gauge)|registry\\.(?:counter|register))\\(\\s*\"([a-z._]+)\"");

	/**
	 * Result codes that no process counts, since only operators' commands and the parsing
	 * of settings and configuration raise them, and 2011, which nothing raises.
	 */
	private static final Set<Integer> UNCOUNTED_RESULTS = Set.of(2011, 5001, 5002, 5003, 5004, 5005, 5006, 5007, 5008,
			5009, 5011, 6008, 6014);

	@Test
	public void tableListsEveryResultCounter() {
		Set<Integer> expected = Arrays.stream(ResultCode.values())
			.map(ResultCode::number)
			.filter((number) -> !UNCOUNTED_RESULTS.contains(number))
			.collect(Collectors.toCollection(TreeSet::new));
		Set<Integer> onPage = new TreeSet<>();
		for (List<String> row : rows(COUNTER_TABLE_HEADING)) {
			CODE_RANGE.matcher(row.get(0)).results().forEach((range) -> addNumbersInRange(range, onPage));
		}
		Assert.assertEquals(onPage, expected);
	}

	@Test
	public void tableListsExactlyTheOtherMetrics() {
		Set<String> expected = new TreeSet<>();
		for (Path file : Repository.mainSources()) {
			REGISTERED_METRIC.matcher(Repository.read(file))
				.results()
				.forEach((registration) -> expected.add(exposedName(registration)));
		}
		expected.remove("results_CLASS");
		expected.remove("wasted_tokens_CLASS");
		Set<String> onPage = rows(COUNTER_TABLE_HEADING).stream()
			.flatMap((row) -> codeSpans(row.get(0)))
			.filter((name) -> !name.startsWith("results_"))
			.collect(Collectors.toCollection(TreeSet::new));
		Assert.assertEquals(onPage, expected);
	}

	@Test
	public void everyCounterRowIsComplete() {
		for (List<String> row : rows(COUNTER_TABLE_HEADING)) {
			Assert.assertEquals(row.size(), 3, row.toString());
			Assert.assertFalse(row.stream().anyMatch(String::isBlank), row.toString());
		}
	}

	@DataProvider
	public Object[][] accessRows() {
		return rows(ACCESS_TABLE_HEADING).stream().map((row) -> new Object[] { row }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "accessRows")
	public void accessTableNamesExistingTests(List<String> row) {
		Map<String, String> sources = testSources();
		List<String> testNames = codeSpans(row.get(3)).toList();
		Assert.assertFalse(testNames.isEmpty(), row.toString());
		for (String name : testNames) {
			String[] classAndMethod = name.split("\\.");
			Assert.assertEquals(classAndMethod.length, 2, name);
			Assert.assertTrue(sources.getOrDefault(classAndMethod[0], "").contains(" " + classAndMethod[1] + "("),
					name);
		}
	}

	private static Map<String, String> testSources() {
		Map<String, String> sources = new TreeMap<>();
		for (Path file : Repository.testSources()) {
			sources.put(file.getFileName().toString().replace(".java", ""), Repository.read(file));
		}
		return sources;
	}

	private static List<List<String>> rows(String tableHeading) {
		String text = Repository.read(PAGE);
		int start = text.indexOf(tableHeading);
		Assert.assertTrue(start >= 0, tableHeading);
		return text.substring(start + tableHeading.length())
			.lines()
			.skip(1)
			.takeWhile((line) -> line.startsWith("| "))
			.map((line) -> List.of(line.substring(2, line.length() - 2).split(" \\| ", -1)))
			.toList();
	}

	private static Stream<String> codeSpans(String cell) {
		return CODE_SPAN.matcher(cell).results().map((code) -> code.group(1));
	}

	private static void addNumbersInRange(MatchResult range, Set<Integer> numbers) {
		int first = Integer.parseInt(range.group(1));
		int last = (range.group(2) != null) ? Integer.parseInt(range.group(2)) : first;
		for (ResultCode code : ResultCode.values()) {
			if (code.number() >= first && code.number() <= last) {
				numbers.add(code.number());
			}
		}
		Assert.assertTrue(numbers.contains(first) && numbers.contains(last), range.group());
	}

	/**
	 * Returns the metric's name at {@code /metrics}. A registered name that ends with a
	 * dot is a prefix, to which the code appends the name of a request class.
	 */
	private static String exposedName(MatchResult registration) {
		String name = ("wasted".equals(registration.group(1)) ? "wasted_tokens." : "") + registration.group(2);
		return (name.endsWith(".") ? name + "CLASS" : name).replace('.', '_');
	}

}
