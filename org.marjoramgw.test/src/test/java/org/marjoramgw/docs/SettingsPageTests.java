package org.marjoramgw.docs;

import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that docs/SETTINGS.md lists exactly the keys that the programs read.
 *
 * @author The marjoramgw authors
 */
public class SettingsPageTests {

	private static final Path PAGE = Repository.page("SETTINGS.md");

	private static final Pattern READER_FILE = Pattern.compile("(\\w+Settings|ConfigurationParser)\\.java");

	private static final Pattern READ_KEY = Pattern.compile(
			"(?:\\.(?:text|number|decimal|clampedDecimal|flag|choice|address|texts)\\(|(?:interval|millis)\\(\\s*table,)\\s*\"([a-z0-9_]+)\"");

	private static final Pattern KEY_CONSTANT = Pattern
		.compile("public static final String [A-Z_]+ = \"([a-z0-9_]+)\"");

	private static final Pattern SECTION = Pattern.compile("(?m)^## [^`\\n]*`(\\w+)`$");

	private static final Pattern ROW = Pattern.compile("(?m)^\\| `([a-z0-9_]+)` \\|");

	@Test
	public void pageListsExactlyTheKeysThatAreRead() {
		Assert.assertEquals(keysOnPage(), keysReadBySources());
	}

	private static Map<String, Set<String>> keysOnPage() {
		Map<String, Set<String>> keys = new TreeMap<>();
		String text = Repository.read(PAGE);
		Matcher section = SECTION.matcher(text);
		int nextStart = section.find() ? section.start() : -1;
		while (nextStart >= 0) {
			String name = section.group(1);
			int start = section.end();
			nextStart = section.find() ? section.start() : -1;
			keys.put(name, find(ROW, text.substring(start, (nextStart >= 0) ? nextStart : text.length())));
		}
		return keys;
	}

	private static Map<String, Set<String>> keysReadBySources() {
		Map<String, Set<String>> keys = new TreeMap<>();
		for (Path file : Repository.mainSources()) {
			Matcher reader = READER_FILE.matcher(file.getFileName().toString());
			if (reader.matches()) {
				String source = Repository.read(file);
				Set<String> found = find(READ_KEY, source);
				found.addAll(find(KEY_CONSTANT, source));
				addUnlessEmpty(keys, reader.group(1), found);
			}
		}
		return keys;
	}

	private static void addUnlessEmpty(Map<String, Set<String>> keys, String reader, Set<String> found) {
		if (!found.isEmpty()) {
			keys.put(reader, found);
		}
	}

	private static Set<String> find(Pattern pattern, String text) {
		return pattern.matcher(text)
			.results()
			.map((MatchResult match) -> match.group(1))
			.collect(Collectors.toCollection(TreeSet::new));
	}

}
