package org.marjoramgw.settings;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Line numbers of the keys of a TOML document.
 *
 * @author The marjoramgw authors
 */
final class KeyLineNumbers {

	private static final Pattern ARRAY_HEADER = Pattern.compile("^\\s*\\[\\[\\s*([^\\]]+?)\\s*]]");

	private static final Pattern HEADER = Pattern.compile("^\\s*\\[\\s*([^\\]]+?)\\s*]");

	private static final Pattern KEY = Pattern.compile("^\\s*([A-Za-z0-9_.\"'-]+)\\s*=");

	private final Map<String, Integer> lineByKey = new HashMap<>();

	private final Map<String, Integer> countByArray = new HashMap<>();

	KeyLineNumbers(String text) {
		String prefix = "";
		int number = 0;
		for (String line : text.split("\n", -1)) {
			number++;
			prefix = scan(line, number, prefix);
		}
	}

	int lineOf(String key) {
		String name = key;
		while (!name.isEmpty()) {
			Integer line = this.lineByKey.get(name);
			if (line != null) {
				return line;
			}
			name = name.substring(0, Math.max(name.lastIndexOf('.'), 0));
		}
		return 0;
	}

	private String scan(String line, int number, String prefix) {
		Matcher array = ARRAY_HEADER.matcher(line);
		if (array.find()) {
			int index = this.countByArray.merge(array.group(1), 1, Integer::sum) - 1;
			return addHeader(array.group(1) + "[" + index + "]", number);
		}
		Matcher header = HEADER.matcher(line);
		if (header.find()) {
			return addHeader(unquoted(header.group(1)), number);
		}
		Matcher key = KEY.matcher(line);
		if (key.find()) {
			this.lineByKey.putIfAbsent(prefix + unquoted(key.group(1)), number);
		}
		return prefix;
	}

	private String addHeader(String name, int number) {
		this.lineByKey.putIfAbsent(name, number);
		return name + ".";
	}

	private static String unquoted(String key) {
		return key.replace("\"", "").replace("'", "");
	}

}
