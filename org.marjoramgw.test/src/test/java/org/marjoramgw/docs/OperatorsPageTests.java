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
 * Tests that docs/OPERATORS.md says what to do about every counter, and that each row of
 * its access table names tests that exist.
 *
 * @author The marjoramgw authors
 */
public class OperatorsPageTests {

	private static final Path PAGE = Repository.page("OPERATORS.md");

	private static final String COUNTERS = "| counter | meaning | what to do |\n";

	private static final String ACCESS = "| endpoint | without a token or key, or with a wrong one "
			+ "| with the right one | tested by |\n";

	private static final Pattern CODE = Pattern.compile("`([^`]+)`");

	private static final Pattern CODE_RANGE = Pattern.compile("`results_(\\d+)`(?: to `results_(\\d+)`)?");

	private static final Pattern REGISTERED = Pattern
		.compile("(?:journal\\.(count|wasted|gauge)|registry\\.(?:counter|register))\\(\\s*\"([a-z._]+)\"");

	/**
	 * Codes that only the operators' commands and the reading of texts give, which no
	 * process counts, and 2011, which nothing raises.
	 */
	private static final Set<Integer> NOT_COUNTED = Set.of(2011, 5001, 5002, 5003, 5004, 5005, 5006, 5007, 5008, 5009,
			5011, 6008, 6014);

	@Test
	public void tableHasEveryCounterOfAResult() {
		Set<Integer> expected = Arrays.stream(ResultCode.values())
			.map(ResultCode::number)
			.filter((number) -> !NOT_COUNTED.contains(number))
			.collect(Collectors.toCollection(TreeSet::new));
		Set<Integer> onPage = new TreeSet<>();
		for (List<String> row : rows(COUNTERS)) {
			CODE_RANGE.matcher(row.get(0)).results().forEach((range) -> addRange(range, onPage));
		}
		Assert.assertEquals(onPage, expected);
	}

	@Test
	public void tableHasEveryOtherMetricAndNoMore() {
		Set<String> expected = new TreeSet<>();
		for (Path file : Repository.mainSources()) {
			REGISTERED.matcher(Repository.read(file)).results().forEach((use) -> expected.add(exposed(use)));
		}
		expected.remove("results_CLASS");
		expected.remove("wasted_tokens_CLASS");
		Set<String> onPage = rows(COUNTERS).stream()
			.flatMap((row) -> codes(row.get(0)))
			.filter((name) -> !name.startsWith("results_"))
			.collect(Collectors.toCollection(TreeSet::new));
		Assert.assertEquals(onPage, expected);
	}

	@Test
	public void everyRowSaysWhatToDo() {
		for (List<String> row : rows(COUNTERS)) {
			Assert.assertEquals(row.size(), 3, row.toString());
			Assert.assertFalse(row.stream().anyMatch(String::isBlank), row.toString());
		}
	}

	@DataProvider
	public Object[][] accessRows() {
		return rows(ACCESS).stream().map((row) -> new Object[] { row }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "accessRows")
	public void accessIsTested(List<String> row) {
		Map<String, String> sources = testSources();
		List<String> named = codes(row.get(3)).toList();
		Assert.assertFalse(named.isEmpty(), row.toString());
		for (String name : named) {
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

	private static List<List<String>> rows(String heading) {
		String text = Repository.read(PAGE);
		int start = text.indexOf(heading);
		Assert.assertTrue(start >= 0, heading);
		return text.substring(start + heading.length())
			.lines()
			.skip(1)
			.takeWhile((line) -> line.startsWith("| "))
			.map((line) -> List.of(line.substring(2, line.length() - 2).split(" \\| ", -1)))
			.toList();
	}

	private static Stream<String> codes(String cell) {
		return CODE.matcher(cell).results().map((code) -> code.group(1));
	}

	private static void addRange(MatchResult range, Set<Integer> numbers) {
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
	 * Returns the name at {@code /metrics}; a name that ends with a dot goes on with a
	 * class.
	 */
	private static String exposed(MatchResult use) {
		String name = ("wasted".equals(use.group(1)) ? "wasted_tokens." : "") + use.group(2);
		return (name.endsWith(".") ? name + "CLASS" : name).replace('.', '_');
	}

}
