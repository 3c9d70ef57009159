package org.marjoramgw.docs;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.marjoramgw.ExecutionOutcome;
import org.marjoramgw.ResultCode;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that the table of docs/RESULT-CODES.md matches {@link ResultCode}. The system
 * property {@code docs.write=true} regenerates the table first.
 *
 * @author The marjoramgw authors
 */
public class ResultCodesPageTests {

	private static final Path PAGE = Repository.page("RESULT-CODES.md");

	private static final String TABLE_HEADING = "| number | name | status | outcome | text | counter | raised in |\n"
			+ "|---|---|---|---|---|---|---|\n";

	private static final int RAISED_IN_COLUMN = 6;

	private static final String NOWHERE = "nowhere yet";

	private final Map<String, String> sourceByClass = new HashMap<>();

	public ResultCodesPageTests() {
		for (Path file : Repository.mainSources()) {
			String name = file.getFileName().toString().replace(".java", "");
			this.sourceByClass.put(name, Repository.read(file));
		}
		this.sourceByClass.remove("ResultCode");
		this.sourceByClass.remove("Messages");
	}

	@Test
	public void tableMatchesTheEnum() throws Exception {
		if (Boolean.getBoolean("docs.write")) {
			writeTable();
		}
		List<List<String>> rows = rows();
		Assert.assertEquals(rows.stream().map((row) -> row.subList(0, RAISED_IN_COLUMN)).toList(),
				Arrays.stream(ResultCode.values()).map(ResultCodesPageTests::cells).toList());
		for (List<String> row : rows) {
			assertRaisedIn(ResultCode.valueOf(row.get(1)), row.get(RAISED_IN_COLUMN));
		}
	}

	private void assertRaisedIn(ResultCode code, String column) {
		if (NOWHERE.equals(column)) {
			Assert.assertEquals(classesUsing(code), List.of(), code + " is raised, but the page says it is not");
			return;
		}
		List<String> named = List.of(column.replace("`", "").split(", "));
		Assert.assertTrue(classesUsing(code).containsAll(named),
				code + " is used in " + classesUsing(code) + ", but the page lists " + named);
	}

	private List<String> classesUsing(ResultCode code) {
		Pattern usage = Pattern.compile("\\bResultCode\\." + code.name() + "\\b");
		return this.sourceByClass.entrySet()
			.stream()
			.filter((source) -> usage.matcher(source.getValue()).find())
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

	private void writeTable() throws Exception {
		String text = Repository.read(PAGE);
		String above = text.substring(0, text.indexOf(TABLE_HEADING) + TABLE_HEADING.length());
		StringBuilder page = new StringBuilder(above);
		for (ResultCode code : ResultCode.values()) {
			List<String> cells = new ArrayList<>(cells(code));
			String raisedIn = classesUsing(code).stream()
				.map((name) -> "`" + name + "`")
				.collect(Collectors.joining(", "));
			cells.add(raisedIn.isEmpty() ? NOWHERE : raisedIn);
			page.append("| ").append(String.join(" | ", cells)).append(" |\n");
		}
		Files.writeString(PAGE, page);
	}

	private static List<List<String>> rows() {
		String text = Repository.read(PAGE);
		return text.substring(text.indexOf(TABLE_HEADING) + TABLE_HEADING.length())
			.lines()
			.filter((line) -> line.startsWith("| "))
			.map((line) -> List.of(line.substring(2, line.length() - 2).split(" \\| ", -1)))
			.toList();
	}

	private static List<String> cells(ResultCode code) {
		String status = (code.httpStatus() == 0) ? "none" : String.valueOf(code.httpStatus());
		return List.of(String.valueOf(code.number()), code.name(), status, outcome(code.outcome()), code.text(),
				"`results_" + code.number() + "`");
	}

	private static String outcome(ExecutionOutcome outcome) {
		return switch (outcome) {
			case NOT_RUN -> "not run";
			case RAN -> "ran";
			case UNKNOWN -> "unknown";
		};
	}

}
